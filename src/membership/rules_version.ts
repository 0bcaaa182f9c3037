import { z } from "zod";

/**
 * The version of the rules that a daemon has in effect. Exchanges carry it so
 * that a daemon with older rules notices and pulls the newer ones.
 */
export const RulesVersion = z.strictObject({
  sequence: z.number().int().min(0),
  digest: z.string().max(64),
});
export type RulesVersion = z.infer<typeof RulesVersion>;
