import type { Issue } from "../core/issue.ts";
import { sanitizeText } from "./sanitize_text.ts";

/** Formats issues of a rules file, one per line. */
export function formatIssues(file: string, issues: Issue[]): string {
  return issues.map(({ path, message, code }) => {
    const place = path.length === 0 ? "" : `${path.join(".")}: `;
    return `${sanitizeText(`${file}: ${place}${message} (${code})`)}\n`;
  }).join("");
}
