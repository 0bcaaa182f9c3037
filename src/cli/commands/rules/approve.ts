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
  summary: "Sign a change that waits for your department",
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
    const answer = await environment.rules.approve({
      changeId: change,
      department,
      privateKey: privateKey.text,
      digest: digest ?? null,
      // With --json the output holds nothing but the answer.
      show: json ? environment.err : environment.out,
      ask: (request) => sendDaemonRequest({ ...request, daemon }),
    });
    return reportSubmit(answer, { file: change, json }, environment);
  },
});
