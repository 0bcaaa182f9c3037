import { z } from "zod";
import { MessageReports } from "./message_reports.ts";

/** Urgent reports, sent outside of exchanges. */
export const PushMessage = z.strictObject({ reports: MessageReports });
export type PushMessage = z.infer<typeof PushMessage>;
