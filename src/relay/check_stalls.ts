import { Client } from "undici";
import { withTimeout } from "../core/with_timeout.ts";
import { findStalled } from "./find_stalled.ts";
import { classifyStalled } from "./classify_stalled.ts";
import type { Relay } from "./relay.ts";
import type { RemoteAttempt } from "./remote_attempt.ts";

const PROBE_TIMEOUT_MS = 500;
/**
 * Wait after the probe, for a response that was in transit when the probe was
 * answered.
 */
const GRACE_MS = 100;

/** Probes the daemons of attempts without progress, over new connections. */
export function checkStalls(relay: Relay, now: number): void {
  for (const [address, remotes] of findStalled(relay.remoteAttempts, now)) {
    for (const remote of remotes) remote.probing = true;
    probe(relay, address, remotes);
  }
}

async function probe(
  relay: Relay,
  address: string,
  remotes: RemoteAttempt[],
): Promise<void> {
  const probedAt = relay.clock();
  const running = await fetchRunningAttempts(address, remotes);
  await new Promise((resolve) => setTimeout(resolve, GRACE_MS));
  for (const remote of remotes) {
    remote.probing = false;
    if (!relay.remoteAttempts.has(remote)) continue;
    const result = { probedAt, running };
    const verdict = classifyStalled(remote, result, relay.clock());
    relay.log("stalled", {
      attempt: remote.attemptId,
      daemon: address,
      reached: running !== null,
      verdict,
    });
    if (verdict === "dead") remote.lose();
  }
}

/**
 * Returns the attempts still running at the daemon; null if it did not answer.
 */
async function fetchRunningAttempts(
  address: string,
  remotes: RemoteAttempt[],
): Promise<Set<string> | null> {
  // A pooled connection may be dead in the same way as the one being checked.
  const client = new Client(`http://${address}`, {
    connect: { timeout: PROBE_TIMEOUT_MS },
  });
  const ids = remotes.map(({ attemptId }) => attemptId).join(",");
  try {
    return await withTimeout(PROBE_TIMEOUT_MS, async (signal) => {
      const { body } = await client.request({
        method: "GET",
        path: `/-/alive?attempt=${ids}`,
        signal,
      });
      return new Set((await body.text()).split(","));
    });
  } catch {
    return null;
  } finally {
    client.destroy();
  }
}
