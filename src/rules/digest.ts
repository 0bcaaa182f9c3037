import { z } from "zod";

/** A SHA-256 digest in lower-case hex. */
export const Digest = z.string().regex(/^[0-9a-f]{64}$/);
export type Digest = z.infer<typeof Digest>;
