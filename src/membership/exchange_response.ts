import { z } from "zod";
import { BUCKET_COUNT } from "./bucket_count.ts";
import { MessageReports } from "./message_reports.ts";
import { RulesVersion } from "./rules_version.ts";

const MAX_DATA_CENTRES = 256;
const Name = z.string().min(1).max(64);

/** The response to one request of an exchange. */
export const ExchangeResponse = z.strictObject({
  reports: MessageReports,
  /**
   * Stage 1: digests of all data centres, if the digest of the directory
   * differs.
   */
  digests: z.array(z.tuple([Name, z.number().int().min(0)]))
    .max(MAX_DATA_CENTRES).optional(),
  /** Stage 2: differing buckets whose live entries are all in `reports`. */
  differing: z.array(z.tuple([
    Name,
    z.array(z.number().int().min(0).max(BUCKET_COUNT - 1)).max(BUCKET_COUNT),
  ])).max(MAX_DATA_CENTRES).optional(),
  rules: RulesVersion,
});
export type ExchangeResponse = z.infer<typeof ExchangeResponse>;
