import { createLogger } from "../core/create_logger.ts";
import { createTokenCache } from "../execution/create_token_cache.ts";
import type { Relay } from "../relay/relay.ts";
import { createResends } from "../retries/create_resends.ts";
import { createRouting } from "../routing/create_routing.ts";
import type { Settings } from "../settings/settings.ts";
import { createShedding } from "../shedding/create_shedding.ts";

const KIB = 1024;

/** Dependencies of the data path on other parts of the daemon. */
type Dependencies =
  & Pick<Relay, "clock" | "random" | "isLeaving" | "metrics">
  & Pick<Relay, "candidates" | "serviceRule">
  & Pick<Relay, "ledger" | "table">
  & { settings: Settings };

/** Creates the data path of a daemon. */
export function createRelay(
  { settings, ...dependencies }: Dependencies,
): Relay {
  const { daemon, limits } = settings;
  const address = `${daemon.address}:${daemon.peerPort}`;
  return {
    ...dependencies,
    address,
    log: createLogger("relay"),
    routing: createRouting(daemon.dataCentre, address),
    shedding: createShedding(),
    server: null,
    admission: null,
    serverPool: null,
    peerPools: new Map(),
    tokenPools: new Map(),
    tokenCache: createTokenCache(),
    resends: createResends(),
    remoteAttempts: new Set(),
    parents: new Map(),
    joined: new Set(),
    open: new Set(),
    lastId: 0,
    departments: new Set(Object.keys(settings.departments)),
    limits: {
      requestBody: limits.requestBodyKib * KIB,
      queue: limits.queue,
      connectionsPerPeer: limits.connectionsPerPeer,
    },
  };
}
