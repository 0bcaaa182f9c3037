import { z } from "zod";
import { PackedReport } from "./packed_report.ts";

const MAX_REPORTS = 4_096;

/** The reports of one message. */
export const MessageReports = z.array(PackedReport).max(MAX_REPORTS);
export type MessageReports = z.infer<typeof MessageReports>;
