import { raiseVerdict } from "./raise_verdict.ts";
import type { Directory } from "./directory.ts";

/** What a helper said about the target, or `silent` if it did not answer. */
type ProbeResult = "reached" | "unreached" | "silent";

/**
 * Judges a member of the own data centre that did not answer. It is suspected
 * unless a helper reached it. If helpers were asked and all were silent, this
 * daemon is more likely to be cut off itself, and nobody is suspected.
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
