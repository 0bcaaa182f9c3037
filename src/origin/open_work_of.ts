import type { OpenCall } from "./open_call.ts";
import type { OpenWork } from "./open_work.ts";

/** Summarizes the requests without a reply; `now` is a steady time in ms. */
export function openWorkOf(open: Iterable<OpenCall>, now: number): OpenWork {
  let clients = 0;
  let nested = 0;
  let oldest: OpenCall | null = null;
  for (const call of open) {
    if (call.root === false) nested++;
    else clients++;
    if (oldest === null || call.startedAt < oldest.startedAt) oldest = call;
  }
  return {
    clients,
    nested,
    oldest: oldest && {
      id: oldest.request.id,
      route: oldest.route.name,
      server: oldest.target?.serverId,
      ms: now - oldest.startedAt,
    },
  };
}
