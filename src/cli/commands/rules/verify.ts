import { z } from "zod";
import { argument } from "../../argument.ts";
import { collectRules } from "../../collect_rules.ts";
import { defineCommand } from "../../define_command.ts";
import { ExitStatus } from "../../exit_status.ts";
import { option } from "../../option.ts";
import { readText } from "../../read_text.ts";
import { reportIssues } from "../../report_issues.ts";
import { reportVerify } from "../../report_verify.ts";

/** Compares agreed rules with those in effect on daemons. */
export const verify = defineCommand({
  usage: "verify <file>",
  summary: "Compare what was agreed with what daemons have in effect",
  positionals: { file: "Configuration that the department agreed to, or -" },
  options: {
    department: option.department,
    daemon: {
      ...option.daemon,
      type: "array",
      string: true,
      default: [option.daemon.default],
      describe: "Local listener of a daemon, HOST:PORT; may be repeated",
    },
    members: {
      type: "boolean",
      default: false,
      describe: "Have the daemon ask all the others that it knows",
    },
    json: option.json,
  },
  examples: [[
    "$0 rules verify rules.json --department bakery --members",
    "",
  ]],
  schema: z.object({
    file: argument.file,
    department: argument.name,
    daemon: argument.listeners,
    members: argument.flag,
    json: argument.flag,
  }),
  async run({ file, department, daemon, members, json }, environment) {
    const read = readText(file);
    if (!read.ok) {
      environment.err(`${read.message}\n`);
      return ExitStatus.usage;
    }
    const addresses = [...new Set(daemon)];
    const { daemons, failures } = await collectRules(
      { addresses, members },
      environment,
    );
    const { text } = read;
    const answer = daemons.length === 0
      ? { kind: "compared" as const, daemons: [] }
      : await environment.rules.verify({ text, department, daemons });
    if (answer.kind === "compared") {
      return reportVerify(answer, { failures, json }, environment);
    }
    if (json) environment.out(`${JSON.stringify(answer)}\n`);
    if (answer.kind === "rejected") {
      environment.err(reportIssues(file, answer.issues));
      return ExitStatus.usage;
    }
    environment.err(`Rules not compared: ${answer.message}\n`);
    return ExitStatus.notAccepted;
  },
});
