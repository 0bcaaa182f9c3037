import type { Random } from "../core/random.ts";
import { choosePollers } from "./choose_pollers.ts";

/** What a daemon knows of its data centre. */
type View = {
  address: string;
  dataCentre: string;
  /** Addresses of the live daemons of the data centre, with its own. */
  live: readonly string[];
  /** When a peer last reported its head, in ms; undefined if never. */
  headReceivedAt: number | undefined;
};

const POLL_INTERVAL_MS = 2_000;
const ISOLATED_AFTER_MS = 6_000;
// 14,000 daemons cut off at once read 700 times a second, a third of what the
// table service bears.
const ISOLATED_POLL_INTERVAL_MS = 20_000;
const JITTER_RATIO = 0.1;

/**
 * Returns the ms until a daemon polls the store next, or undefined if it leaves
 * that to the pollers of its data centre. A daemon that hears nothing from its
 * peers polls the store itself, less often.
 */
export function pollDelay(
  { address, dataCentre, live, headReceivedAt: heardAt }: View,
  now: number,
  random: Random,
): number | undefined {
  const jitter = 1 + JITTER_RATIO * (2 * random() - 1);
  if (choosePollers(dataCentre, live).includes(address)) {
    return POLL_INTERVAL_MS * jitter;
  }
  const isolated = heardAt === undefined || now - heardAt > ISOLATED_AFTER_MS;
  return isolated ? ISOLATED_POLL_INTERVAL_MS * jitter : undefined;
}
