import { z } from "zod";
import { BUCKET_COUNT } from "./bucket_count.ts";
import { MessageReports } from "./message_reports.ts";
import { RulesVersion } from "./rules_version.ts";

const MAX_DATA_CENTRES = 16;

/**
 * One request of an exchange. Stage 1 carries updates and the digest of the
 * whole directory, stage 2 the bucket digests of data centres that differ,
 * stage 3 the entries that the other side lacks.
 */
export const ExchangeRequest = z.strictObject({
  stage: z.union([z.literal(1), z.literal(2), z.literal(3)]),
  from: z.string().min(1).max(64),
  dataCentre: z.string().min(1).max(64),
  digest: z.number().int().min(0),
  reports: MessageReports,
  buckets: z.array(
    z.tuple([
      z.string().min(1).max(64),
      z.array(z.number().int().min(0)).length(BUCKET_COUNT),
    ]),
  ).max(MAX_DATA_CENTRES).optional(),
  rules: RulesVersion,
});
export type ExchangeRequest = z.infer<typeof ExchangeRequest>;
