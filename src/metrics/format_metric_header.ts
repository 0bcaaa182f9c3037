/** Formats the HELP and TYPE lines that precede the samples of a metric. */
export function formatMetricHeader(
  name: string,
  type: "counter" | "gauge" | "summary",
  help: string | undefined,
): string[] {
  const declaration = `# TYPE ${name} ${type}`;
  if (help === undefined) return [declaration];
  const text = help.replace(/\\/g, "\\\\").replace(/\n/g, "\\n");
  return [`# HELP ${name} ${text}`, declaration];
}
