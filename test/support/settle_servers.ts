import type { Fleet } from "../../fleet/fleet.ts";
import { getJson } from "../../fleet/get_json.ts";
import { Ports } from "../../fleet/ports.ts";
import { membersOf } from "./members_of.ts";
import { until } from "./until.ts";

type Work = { inUse: number; waiting: number; started: number };

/**
 * Waits until the backend servers that are alive have no work left, seen twice
 * in a row with no new run in between.
 */
export async function settleServers(fleet: Fleet): Promise<void> {
  const alive = membersOf(fleet, "server").filter((
    { process: { signalCode } },
  ) => signalCode === null);
  let before = "";
  await until(async () => {
    const works = await Promise.all(
      alive.map(({ host }) =>
        getJson<Work>(`http://${host}:${Ports.server}/-/runs`)
      ),
    );
    const now = works.map(({ started }) => started).join();
    const idle = works.every(({ inUse, waiting }) => inUse + waiting === 0);
    const settled = idle && now === before;
    before = now;
    return settled;
  });
}
