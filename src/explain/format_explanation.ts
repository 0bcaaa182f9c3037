import type { Explanation } from "./explain_request.ts";
import type { LogLine } from "./log_line.ts";

/** Formats an explanation as text: the verdict, the decisions, the context. */
export function formatExplanation(
  { decisions, context, verdict }: Explanation,
): string {
  const sections = [verdict, "", "Decisions:", ...decisions.map(format)];
  if (context.length > 0) {
    sections.push("", "State changes of the same daemons:");
    sections.push(...context.map(format));
  }
  return `${sections.join("\n")}\n`;
}

function format({ at, source, event, fields }: LogLine): string {
  const values = [...fields].filter(([name]) => name !== "id")
    .map(([name, value]) => `${name}=${value}`);
  return `  ${new Date(at).toISOString()} ${source} ${event} ${
    values.join(" ")
  }`;
}
