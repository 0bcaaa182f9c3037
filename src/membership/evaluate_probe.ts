import { raiseVerdict } from "./raise_verdict.ts";
import type { Directory } from "./directory.ts";

/** What a helper reported on the target, or `silent` if it did not answer. */
type ProbeResult = "reached" | "unreached" | "silent";

/**
 * Evaluates the indirect probes of a member of the own data centre that did not
 * answer directly. It is suspected unless a helper reached it. If helpers were
 * asked and none answered, this daemon is probably cut off itself, so the
 * member is not suspected.
 */
export function evaluateProbe(
  directory: Directory,
  { target, findings }: { target: string; findings: readonly ProbeResult[] },
  now: number,
): "alive" | "suspect" | "undecided" {
  if (findings.includes("reached")) return "alive";
  if (findings.length > 0 && !findings.includes("unreached")) {
    return "undecided";
  }
  raiseVerdict(directory, { address: target, verdict: 1 }, now);
  return "suspect";
}
