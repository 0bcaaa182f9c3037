import { Client } from "undici";
import { withTimeout } from "../core/with_timeout.ts";
import { findStalled } from "./find_stalled.ts";
import { classifyStalled } from "./classify_stalled.ts";
import type { Relay } from "./relay.ts";
import type { RemoteAttempt } from "./remote_attempt.ts";

const PROBE_TIMEOUT_MS = 500;
/** A response that was on its way when the probe was answered arrives in it. */
const GRACE_MS = 100;

/** Asks other daemons, on new connections, about attempts without progress. */
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
  const askedAt = relay.clock();
  const running = await askRunning(address, remotes);
  await new Promise((resolve) => setTimeout(resolve, GRACE_MS));
  for (const remote of remotes) {
    remote.probing = false;
    if (!relay.remoteAttempts.has(remote)) continue;
    const finding = { askedAt, running };
    const verdict = classifyStalled(remote, finding, relay.clock());
    relay.log("stalled", {
      attempt: remote.attemptId,
      daemon: address,
      reached: running !== null,
      verdict,
    });
    if (verdict === "dead") remote.lose();
  }
}

/** Returns the attempts that still run there; null where no answer came. */
async function askRunning(
  address: string,
  remotes: RemoteAttempt[],
): Promise<Set<string> | null> {
  // A pooled connection could be as dead as the one in doubt.
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
