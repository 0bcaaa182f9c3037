import type { Fleet } from "../../fleet/fleet.ts";
import { getJson } from "../../fleet/get_json.ts";
import { Ports } from "../../fleet/ports.ts";
import { membersOf } from "./members_of.ts";
import { until } from "./until.ts";

type Work = { inUse: number; waiting: number; started: number };

/**
 * Waits until the live backend servers are idle in two consecutive polls, with no
 * run started between them.
 */
export async function settleServers(fleet: Fleet): Promise<void> {
  const alive = membersOf(fleet, "server").filter((
    { process: { signalCode } },
  ) => signalCode === null);
  let previous = "";
  await until(async () => {
    const statuses = await Promise.all(
      alive.map(({ host }) =>
        getJson<Work>(`http://${host}:${Ports.server}/-/runs`)
      ),
    );
    const current = statuses.map(({ started }) => started).join();
    const idle = statuses.every(({ inUse, waiting }) => inUse + waiting === 0);
    const settled = idle && current === previous;
    previous = current;
    return settled;
  });
}
