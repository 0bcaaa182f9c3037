import type { Directory } from "./directory.ts";
import { peersOf } from "./peers_of.ts";
import type { Report } from "./report.ts";

/**
 * A suspicion lasts this many ms times ⌈ln members⌉, so that it reaches the
 * owner and the refutation returns: 4 s for 4 members, 16 s for 1,400.
 */
const SUSPICION_MS_PER_LOG = 2_000;
const MIN_SUSPICION_MS = 4_000;

/**
 * Starts or cancels the suspicion timeout of a member. Only daemons of its own
 * data centre declare it failed: in a partition, others would miss the
 * refutation.
 */
export function updateSuspicionTimeout(
  directory: Directory,
  { entry, verdict }: Report,
  now: number,
): void {
  directory.suspicionDeadlines.delete(entry.address);
  if (verdict !== 1 || entry.state === "gone") return;
  if (entry.dataCentre !== directory.identity.dataCentre) return;
  const peers = peersOf(directory).get(entry.dataCentre)?.length ?? 1;
  const durationMs = SUSPICION_MS_PER_LOG * Math.ceil(Math.log(peers + 1));
  directory.suspicionDeadlines.set(
    entry.address,
    now + Math.max(MIN_SUSPICION_MS, durationMs),
  );
}
