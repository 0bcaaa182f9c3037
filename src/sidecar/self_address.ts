/** Stands for this daemon among the addresses of daemons. */
export const SELF_ADDRESS = "self";
