import { z } from "zod";
import { argumentSchema } from "../../argument_schema.ts";
import { sendDaemonRequest } from "../../send_daemon_request.ts";
import { defineCommand } from "../../define_command.ts";
import { ExitStatus } from "../../exit_status.ts";
import { option } from "../../option.ts";
import { readText } from "../../read_text.ts";
import { reportSubmit } from "../../report_submit.ts";

/** Signs a configuration and submits it. */
export const submit = defineCommand({
  usage: "submit <file>",
  summary: "Sign a configuration and submit it",
  positionals: {
    file: "Configuration printed by the builder, or - for standard input",
  },
  options: {
    department: option.department,
    key: option.key,
    change: {
      type: "string",
      requiresArg: true,
      describe: "Change id of an earlier attempt whose outcome is not known",
    },
    "section-version": {
      type: "number",
      requiresArg: true,
      describe:
        "Version to submit; by default the one after the version in effect",
    },
    daemon: option.daemon,
    json: option.json,
  },
  examples: [[
    "$0 rules submit rules.json --department bakery --key bakery.pem",
    "",
  ]],
  schema: z.object({
    file: argumentSchema.file,
    department: argumentSchema.name,
    key: argumentSchema.file,
    change: argumentSchema.changeId.optional(),
    "section-version": argumentSchema.version.optional(),
    daemon: argumentSchema.listener,
    json: argumentSchema.flag,
  }),
  async run({ file, department, key, daemon, json, ...rest }, environment) {
    const [text, privateKey] = [readText(file), readText(key)];
    if (!text.ok || !privateKey.ok) {
      for (const read of [text, privateKey]) {
        if (!read.ok) environment.err(`${read.message}\n`);
      }
      return ExitStatus.usage;
    }
    const result = await environment.rules.submit({
      text: text.text,
      department,
      privateKey: privateKey.text,
      changeId: rest.change ?? null,
      version: rest["section-version"] ?? null,
      send: (request) => sendDaemonRequest({ ...request, daemon }),
    });
    return reportSubmit(result, { file, json }, environment);
  },
});
