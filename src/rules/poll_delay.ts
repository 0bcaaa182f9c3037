import type { Random } from "../core/random.ts";
import { choosePollers } from "./choose_pollers.ts";

/** A daemon's view of its data centre. */
type View = {
  address: string;
  dataCentre: string;
  /** Addresses of the live daemons of the data centre, including its own. */
  live: readonly string[];
  /** When a peer last reported its head, in ms; undefined if never. */
  headReceivedAt: number | undefined;
};

const POLL_INTERVAL_MS = 2_000;
const ISOLATED_AFTER_MS = 6_000;
// If 14,000 daemons are isolated at once, they read 700 times a second, a third
// of the capacity of the table service.
const ISOLATED_POLL_INTERVAL_MS = 20_000;
const JITTER_RATIO = 0.1;

/**
 * Returns the interval at which a daemon polls the store, in ms, or undefined
 * if it leaves polling to the pollers of its data centre. An isolated daemon,
 * which hears of no head from its peers, polls the store itself but less often.
 */
export function pollDelay(
  { address, dataCentre, live, headReceivedAt }: View,
  now: number,
  random: Random,
): number | undefined {
  const jitter = 1 + JITTER_RATIO * (2 * random() - 1);
  if (choosePollers(dataCentre, live).includes(address)) {
    return POLL_INTERVAL_MS * jitter;
  }
  const isolated = headReceivedAt === undefined ||
    now - headReceivedAt > ISOLATED_AFTER_MS;
  return isolated ? ISOLATED_POLL_INTERVAL_MS * jitter : undefined;
}
