import { z } from "zod";
import { argumentSchema } from "../argument_schema.ts";
import { defineCommand } from "../define_command.ts";
import { ExitStatus } from "../exit_status.ts";
import { fetchValue } from "../fetch_value.ts";
import { formatTable } from "../format_table.ts";
import { MemberList } from "../member_list.ts";
import { option } from "../option.ts";

const HEADER = ["ADDRESS", "DATA CENTRE", "STATE", "SERVICE", "SLOTS"];

/** Lists the daemons in the directory of one daemon. */
export const members = defineCommand({
  usage: "members",
  summary: "List the daemons that a daemon knows",
  options: { daemon: option.daemon, json: option.json },
  examples: [["$0 members --json", ""]],
  schema: z.object({
    daemon: argumentSchema.listener,
    json: argumentSchema.flag,
  }),
  async run({ daemon, json }, { out, err }) {
    const fetched = await fetchValue(MemberList, {
      daemon,
      method: "GET",
      path: "/-/members",
    });
    if (!fetched.ok) {
      err(`${fetched.message}\n`);
      return fetched.status;
    }
    out(
      json
        ? `${JSON.stringify(fetched.value)}\n`
        : formatTable([HEADER, ...fetched.value.members.map(formatMember)]),
    );
    return ExitStatus.ok;
  },
});

function formatMember(member: MemberList["members"][number]): string[] {
  return [
    member.address,
    member.dataCentre,
    member.reachable === false ? `${member.state}, unreachable` : member.state,
    member.server?.service ?? "",
    String(member.server?.slots ?? ""),
  ];
}
