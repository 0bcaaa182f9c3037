import type { Fleet } from "./fleet.ts";
import { getJson } from "./get_json.ts";
import { Ports } from "./ports.ts";

const POLL_MS = 100;
const TIMEOUT_MS = 60_000;

type Status = { service: string | null; rulesSequence: number };
type Members = { members: { server: object | null }[] };

/** Waits until each daemon knows all servers and has rules in effect. */
export async function waitUntilReady(fleet: Fleet): Promise<void> {
  const daemons = fleet.members.filter(({ kind }) => kind === "daemon");
  const deadline = performance.now() + TIMEOUT_MS;
  for (const { host, name } of daemons) {
    while (!await isReady(host, daemons.length)) {
      if (performance.now() > deadline) throw new Error(`${name} is not ready`);
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
  }
}

async function isReady(host: string, servers: number): Promise<boolean> {
  const at = (path: string) => `http://${host}:${Ports.local}/-/${path}`;
  const { service, rulesSequence } = await getJson<Status>(at("status"));
  const { members } = await getJson<Members>(at("members"));
  const known = members.filter(({ server }) => server !== null).length;
  return service !== null && rulesSequence > 0 && known === servers;
}
