import type { Directory } from "./directory.ts";
import type { PackedReport } from "./packed_report.ts";
import { packReport } from "./pack_report.ts";

/**
 * Takes news for one message, the least sent first, up to `bytes`. Addresses
 * in `exclude` are what the receiver has just sent itself.
 */
export function takeUpdates(
  directory: Directory,
  { exclude, bytes }: { exclude?: ReadonlySet<string>; bytes: number },
): PackedReport[] {
  const taken: PackedReport[] = [];
  let room = bytes;
  const order = [...directory.updates].sort(([, one], [, two]) => two - one);
  for (const [address, sends] of order) {
    const member = directory.members.get(address);
    if (member === undefined) {
      directory.updates.delete(address);
      continue;
    }
    if (exclude?.has(address)) continue;
    if (member.bytes > room) break;
    room -= member.bytes;
    taken.push(packReport(member));
    if (sends > 1) directory.updates.set(address, sends - 1);
    else directory.updates.delete(address);
  }
  return taken;
}
