import { request } from "undici";
import type { Directory } from "./directory.ts";

/** Exchanges known servers with each configured peer, except for unreachable ones. */
export async function pollPeers(
  { members }: Directory,
  peers: readonly string[],
): Promise<void> {
  for (const peer of peers) {
    try {
      const { body } = await request(`http://${peer}/-/swap`, {
        method: "POST",
        body: JSON.stringify([...members.values()]),
        headersTimeout: 1_000,
      });
      const received = await body.json() as Parameters<typeof members.set>[1][];
      for (const entry of received) members.set(entry.address, entry);
    } catch {
      // Retried at the next poll.
    }
  }
}
