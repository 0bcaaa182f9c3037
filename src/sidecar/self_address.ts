/** Placeholder for this daemon where others have their network address. */
export const SELF_ADDRESS = "self";
