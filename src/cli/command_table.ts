import type { Command } from "./command.ts";
import { checkSettings } from "./commands/check_settings.ts";
import { daemon } from "./commands/daemon.ts";
import { drain } from "./commands/drain.ts";
import { explain } from "./commands/explain.ts";
import { members } from "./commands/members.ts";
import { metrics } from "./commands/metrics.ts";
import { approve } from "./commands/rules/approve.ts";
import { keygen } from "./commands/rules/keygen.ts";
import { show } from "./commands/rules/show.ts";
import { submit } from "./commands/rules/submit.ts";
import { verify } from "./commands/rules/verify.ts";
import { status } from "./commands/status.ts";

/** Subcommands of one command. */
type Group = { name: string; summary: string; commands: Command[] };

/** All commands, in the order in which the help text lists them. */
export const commandTable: (Command | Group)[] = [
  daemon,
  checkSettings,
  status,
  members,
  metrics,
  drain,
  explain,
  {
    name: "rules",
    summary: "Submit, show, verify and approve rules",
    commands: [submit, show, verify, approve, keygen],
  },
];
