import { z } from "zod";
import { argumentSchema } from "../../argument_schema.ts";
import { sendDaemonRequest } from "../../send_daemon_request.ts";
import { defineCommand } from "../../define_command.ts";
import { ExitStatus } from "../../exit_status.ts";
import { option } from "../../option.ts";
import { readText } from "../../read_text.ts";
import { reportSubmit } from "../../report_submit.ts";

/** Signs a change that binds several departments. */
export const approve = defineCommand({
  usage: "approve <change>",
  summary: "Sign a change that lacks your department's signature",
  positionals: { change: "Change id that rules submit printed" },
  options: {
    department: option.department,
    key: option.key,
    digest: {
      type: "string",
      requiresArg: true,
      describe: "Sign only if the section has this digest",
    },
    daemon: option.daemon,
    json: option.json,
  },
  examples: [[
    "$0 rules approve 5b1c --department transport --key transport.pem",
    "",
  ]],
  schema: z.object({
    change: argumentSchema.changeId,
    department: argumentSchema.name,
    key: argumentSchema.file,
    digest: argumentSchema.digest.optional(),
    daemon: argumentSchema.listener,
    json: argumentSchema.flag,
  }),
  async run({ change, department, key, daemon, json, digest }, environment) {
    const privateKey = readText(key);
    if (!privateKey.ok) {
      environment.err(`${privateKey.message}\n`);
      return ExitStatus.usage;
    }
    const result = await environment.rules.approve({
      changeId: change,
      department,
      privateKey: privateKey.text,
      digest: digest ?? null,
      // With --json, standard output carries only the result.
      show: json ? environment.err : environment.out,
      send: (request) => sendDaemonRequest({ ...request, daemon }),
    });
    return reportSubmit(result, { file: change, json }, environment);
  },
});
