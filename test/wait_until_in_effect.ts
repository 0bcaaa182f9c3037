import type { Member } from "../fleet/member.ts";
import { callDaemon } from "./call_daemon.ts";
import { until } from "./until.ts";

type Report = { head: { sequence: number; changeId: string } };

/** Waits until a change is in effect on all given daemons; returns the distinct change ids. */
export async function waitUntilInEffect(
  daemons: Member[],
  sequence: number,
): Promise<string[]> {
  const ids = new Set<string>();
  for (const daemon of daemons) {
    await until(`change ${sequence} on ${daemon.name}`, async () => {
      const { head } = await callDaemon<Report>(daemon, "rules");
      if (head.sequence === sequence) ids.add(head.changeId);
      return head.sequence === sequence;
    });
  }
  return [...ids];
}
