/** Where an attempt goes, and the execution token it carries. */
export type Target = { address: string; token: string | null };
