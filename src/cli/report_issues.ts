import type { Issue } from "../core/issue.ts";

/** Formats issues of a rules file, one a line. */
export function reportIssues(file: string, issues: Issue[]): string {
  return issues.map(({ path, message, code }) =>
    `${file}: ${
      path.length === 0 ? "" : `${path.join(".")}: `
    }${message} (${code})\n`
  ).join("");
}
