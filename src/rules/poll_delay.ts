import type { Random } from "../core/random.ts";
import { choosePollers } from "./choose_pollers.ts";

/** What a daemon knows of its data centre. */
type View = {
  address: string;
  dataCentre: string;
  /** Addresses of the live daemons of the data centre, with its own. */
  live: readonly string[];
  /** When a peer last reported its head, in ms; undefined if never. */
  heardAt: number | undefined;
};

const POLL_INTERVAL_MS = 2_000;
const CUT_OFF_AFTER_MS = 6_000;
// 14,000 daemons cut off at once read 700 times a second, a third of what the
// table service bears.
const CUT_OFF_INTERVAL_MS = 20_000;
const JITTER = 0.1;

/**
 * Returns the ms until a daemon polls the store next, or undefined if it leaves
 * that to the pollers of its data centre. A daemon that hears nothing from its
 * peers polls the store itself, less often.
 */
export function pollDelay(
  { address, dataCentre, live, heardAt }: View,
  now: number,
  random: Random,
): number | undefined {
  const spread = 1 + JITTER * (2 * random() - 1);
  if (choosePollers(dataCentre, live).includes(address)) {
    return POLL_INTERVAL_MS * spread;
  }
  const cutOff = heardAt === undefined || now - heardAt > CUT_OFF_AFTER_MS;
  return cutOff ? CUT_OFF_INTERVAL_MS * spread : undefined;
}
