import type { Issue } from "../core/issue.ts";
import { printable } from "./printable.ts";

/** Formats issues of a rules file, one a line. */
export function reportIssues(file: string, issues: Issue[]): string {
  return issues.map(({ path, message, code }) => {
    const place = path.length === 0 ? "" : `${path.join(".")}: `;
    return `${printable(`${file}: ${place}${message} (${code})`)}\n`;
  }).join("");
}
