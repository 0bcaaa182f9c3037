import process from "node:process";
import { acceptCounter } from "../../src/security/accept_counter.ts";
import { createReplayWindow } from "../../src/security/create_replay_window.ts";
import { collectGarbage } from "../membership/collect_garbage.ts";
import { createEntry } from "./create_entry.ts";
import { PLAN } from "./plan.ts";

const MESSAGES = 20;

/** Prints the memory of the replay window after messages of every daemon. */
export function measureSenders(): void {
  const before = collectGarbage();
  const window = createReplayWindow("0123456789abcdef");
  for (let counter = 0; counter < MESSAGES; counter++) {
    for (let index = 0; index < PLAN.daemons; index++) {
      const { address: sender, instance } = createEntry(index);
      acceptCounter(window, { sender, instance, counter });
    }
  }
  const bytes = (collectGarbage() - before) / window.senders.size;
  process.stdout.write(
    `replay window: senders=${window.senders.size} bytesEach=${
      bytes.toFixed(0)
    }\n`,
  );
}
