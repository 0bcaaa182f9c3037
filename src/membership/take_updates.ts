import type { Directory } from "./directory.ts";
import type { PackedReport } from "./packed_report.ts";
import { packReport } from "./pack_report.ts";

/**
 * Takes queued updates for one message, those sent least often first, up to
 * `bytes`. `exclude` holds addresses that the message already covers or that
 * the receiver has just sent itself.
 */
export function takeUpdates(
  directory: Directory,
  { exclude, bytes }: { exclude?: ReadonlySet<string>; bytes: number },
): PackedReport[] {
  const taken: PackedReport[] = [];
  let remainingBytes = bytes;
  const queue = [...directory.updates].sort(([, one], [, two]) => two - one);
  for (const [address, sends] of queue) {
    const member = directory.members.get(address);
    if (member === undefined) {
      directory.updates.delete(address);
      continue;
    }
    if (exclude?.has(address)) continue;
    if (member.bytes > remainingBytes) break;
    remainingBytes -= member.bytes;
    taken.push(packReport(member));
    if (sends > 1) directory.updates.set(address, sends - 1);
    else directory.updates.delete(address);
  }
  return taken;
}
