import { z } from "zod";

/** Name of a department, service, request or agreement. */
export const Name = z.string().regex(/^[a-z][a-z0-9-]{0,63}$/);
export type Name = z.infer<typeof Name>;
