import { z } from "zod";
import { Name } from "./name.ts";
import { Share } from "./share.ts";

const MAX_PARTIES = 200;
const MAX_SHARES = 500;

/** Terms that bind several departments; all of them sign. */
export const AgreementTerms = z.strictObject({
  kind: z.literal("agreement"),
  agreement: Name,
  parties: z.array(Name).min(2).max(MAX_PARTIES),
  /** Weighted fair shares among the parties. An empty list ends the agreement. */
  shares: z.array(Share).max(MAX_SHARES),
});
export type AgreementTerms = z.infer<typeof AgreementTerms>;
