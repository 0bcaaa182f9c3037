import { z } from "zod";
import { argumentSchema } from "../../argument_schema.ts";
import { collectRules } from "../../collect_rules.ts";
import { defineCommand } from "../../define_command.ts";
import { ExitStatus } from "../../exit_status.ts";
import { option } from "../../option.ts";
import { readAgreedFile } from "../../read_agreed_file.ts";
import { formatIssues } from "../../format_issues.ts";
import { reportVerify } from "../../report_verify.ts";

/** Compares agreed rules with those in effect on daemons. */
export const verify = defineCommand({
  usage: "verify <files..>",
  summary: "Compare what was agreed with what daemons have in effect",
  positionals: {
    files: "Configurations that the department agreed to, FILE or FILE@VERSION",
  },
  options: {
    department: option.department,
    daemon: {
      ...option.daemon,
      type: "array",
      string: true,
      default: [option.daemon.default],
      describe: "Local listener of a daemon, HOST:PORT; may be repeated",
    },
    "public-key": {
      type: "string",
      requiresArg: true,
      describe: "The department's own public key, as rules keygen prints it",
    },
    members: {
      type: "boolean",
      default: false,
      describe: "Also compare all other daemons that the daemon knows",
    },
    json: option.json,
  },
  examples: [[
    "$0 rules verify rules.json@2 --department bakery --public-key KEY --members",
    "",
  ]],
  schema: z.object({
    files: argumentSchema.files,
    department: argumentSchema.name,
    "public-key": argumentSchema.publicKey,
    daemon: argumentSchema.listeners,
    members: argumentSchema.flag,
    json: argumentSchema.flag,
  }),
  async run(
    { files, department, daemon, members, json, ...rest },
    environment,
  ) {
    const read = files.map(readAgreedFile);
    const agreed = read.flatMap((each) => each.ok ? [each] : []);
    if (agreed.length < read.length) {
      for (const each of read) {
        if (!each.ok) environment.err(`${each.message}\n`);
      }
      return ExitStatus.usage;
    }
    const addresses = [...new Set(daemon)];
    const { daemons, failures } = await collectRules(
      { addresses, members, department },
      environment,
    );
    const publicKey = rest["public-key"];
    const result = await environment.rules.verify(
      { agreed, department, publicKey, daemons },
    );
    if (result.kind === "compared") {
      return reportVerify(result, { failures, json }, environment);
    }
    if (json) environment.out(`${JSON.stringify(result)}\n`);
    environment.err(formatIssues(files.join(", "), result.issues));
    return ExitStatus.usage;
  },
});
