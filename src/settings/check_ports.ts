import type { SettingsIssue } from "./settings_issue.ts";
import { createSettingsIssue } from "./create_settings_issue.ts";

const PORT_KEYS = ["ingress-port", "peer-port", "local-port"];

/** Reports listeners of one daemon that share a port. */
export function checkPorts(
  daemon: Record<string, unknown>,
  lineOf: (section: string, key: string) => number | null,
): SettingsIssue[] {
  const owners = new Map<unknown, string>();
  const issues: SettingsIssue[] = [];
  for (const key of PORT_KEYS) {
    const port = daemon[key];
    const owner = owners.get(port);
    if (port === undefined) continue;
    if (owner === undefined) owners.set(port, key);
    else {
      issues.push(createSettingsIssue({
        code: "duplicate_port",
        path: ["daemon", key],
        line: lineOf("daemon", key),
        found: `port ${port}, which ${owner} has as well`,
        expected: "a port of its own for each listener",
      }));
    }
  }
  return issues;
}
