import type { SettingsIssue } from "./settings_issue.ts";
import { createSettingsIssue } from "./create_settings_issue.ts";

const PORT_KEYS = ["ingress-port", "peer-port", "local-port"];

/** Reports listeners of one daemon that share a port. */
export function checkPorts(
  daemon: Record<string, unknown>,
  lineOf: (section: string, key: string) => number | null,
): SettingsIssue[] {
  const keysByPort = new Map<unknown, string>();
  const issues: SettingsIssue[] = [];
  for (const key of PORT_KEYS) {
    const port = daemon[key];
    const otherKey = keysByPort.get(port);
    if (port === undefined) continue;
    if (otherKey === undefined) keysByPort.set(port, key);
    else {
      issues.push(createSettingsIssue({
        code: "duplicate_port",
        path: ["daemon", key],
        line: lineOf("daemon", key),
        found: `port ${port}, which ${otherKey} also uses`,
        expected: "a different port for each listener",
      }));
    }
  }
  return issues;
}
