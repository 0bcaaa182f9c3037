import { z } from "zod";
import { argumentSchema } from "../../argument_schema.ts";
import { defineCommand } from "../../define_command.ts";
import { ExitStatus } from "../../exit_status.ts";
import { fetchValue } from "../../fetch_value.ts";
import { formatTable } from "../../format_table.ts";
import { option } from "../../option.ts";

/** Fields that the table shows; `--json` also prints all others. */
const RulesInEffect = z.looseObject({
  head: z.looseObject({
    sequence: z.number(),
    digest: z.string(),
    changeId: z.string(),
  }),
  sections: z.array(z.looseObject({
    name: z.string(),
    version: z.number(),
    digest: z.string(),
  })),
});

/** Shows the rules that one daemon has in effect. */
export const show = defineCommand({
  usage: "show",
  summary: "Show the rules that a daemon has in effect",
  options: { daemon: option.daemon, json: option.json },
  examples: [["$0 rules show --json", ""]],
  schema: z.object({
    daemon: argumentSchema.listener,
    json: argumentSchema.flag,
  }),
  async run({ daemon, json }, { out, err }) {
    const fetched = await fetchValue(RulesInEffect, {
      daemon,
      method: "GET",
      path: "/-/rules",
    });
    if (!fetched.ok) {
      err(`${fetched.message}\n`);
      return fetched.status;
    }
    const { head: { sequence, digest, changeId }, sections } = fetched.value;
    const rows = sections.map((section) => [
      section.name,
      String(section.version),
      section.digest,
    ]);
    out(
      json
        ? `${JSON.stringify(fetched.value)}\n`
        : `Sequence ${sequence}, change ${changeId}, digest ${digest}\n` +
          formatTable([["SECTION", "VERSION", "DIGEST"], ...rows]),
    );
    return ExitStatus.ok;
  },
});
