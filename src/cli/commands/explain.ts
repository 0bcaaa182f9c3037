import { z } from "zod";
import { explainRequest } from "../../explain/explain_request.ts";
import { formatExplanation } from "../../explain/format_explanation.ts";
import { parseLogLine } from "../../explain/parse_log_line.ts";
import { argumentSchema } from "../argument_schema.ts";
import { defineCommand } from "../define_command.ts";
import { ExitStatus } from "../exit_status.ts";
import { readText } from "../read_text.ts";

/** Explains the outcome of a request from collected logs. */
export const explain = defineCommand({
  usage: "explain <id> <files..>",
  summary: "Explain the outcome of a request from the daemons' logs",
  positionals: { id: "Id of the request", files: "Log files of the daemons" },
  options: {},
  examples: [["$0 explain 9c41d07be2a35f68 logs/*", ""]],
  schema: z.object({
    id: z.coerce.string(),
    files: argumentSchema.files.min(1, "the path of one file"),
  }),
  run({ id, files }, { out, err }) {
    const lines = [];
    for (const file of files) {
      const read = readText(file);
      if (!read.ok) {
        err(`${read.message}\n`);
        return Promise.resolve(ExitStatus.usage);
      }
      for (const text of read.text.split("\n")) {
        const line = parseLogLine(text, file);
        if (line !== null) lines.push(line);
      }
    }
    const explanation = explainRequest(lines, id);
    out(formatExplanation(explanation));
    const found = explanation.decisions.length > 0;
    return Promise.resolve(found ? ExitStatus.ok : ExitStatus.negative);
  },
});
