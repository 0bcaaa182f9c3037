import type { Pool } from "undici";
import type { Admission } from "../admission/admission.ts";
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import type { Ledger } from "../execution/ledger.ts";
import type { TokenCache } from "../execution/token_cache.ts";
import type { Announcement } from "../membership/announcement.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { TableService } from "../store/table_service.ts";
import type { Resends } from "../retries/resends.ts";
import type { Candidate } from "../routing/candidate.ts";
import type { Routing } from "../routing/routing.ts";
import type { ServiceRule } from "../rules/service_rule.ts";
import type { Shedding } from "../shedding/shedding.ts";
import type { DeadlineEntry } from "./deadline_entry.ts";
import type { Parent } from "./parent.ts";
import type { RemoteAttempt } from "./remote_attempt.ts";

/** State and dependencies of the data path of one daemon. */
export type Relay = {
  /** Address of this daemon's peer listener. */
  address: string;
  clock: () => number;
  random: Random;
  log: Logger;
  metrics: Metrics;
  routing: Routing;
  shedding: Shedding;
  ledger: Ledger;
  resends: Resends;
  /** Stores claims of idempotency keys; null if no platform is configured. */
  table: TableService | null;
  /** The local backend server; null while none announces itself. */
  server: Announcement | null;
  admission: Admission | null;
  /** Connections to the local backend server. */
  serverPool: Pool | null;
  /** Connections to other daemons, by address. */
  peerPools: Map<string, Pool>;
  /** Connections for token requests to other daemons, by address. */
  tokenPools: Map<string, Pool>;
  /** Execution tokens issued in advance by other daemons. */
  tokenCache: TokenCache;
  /** Attempts in progress at other daemons. */
  remoteAttempts: Set<RemoteAttempt>;
  /** Inbound requests in progress, by attempt id. */
  parents: Map<string, Parent>;
  /** Resends that wait for an execution in progress, by attempt id. */
  joined: Set<string>;
  /** All work in progress that has a deadline. */
  open: Set<DeadlineEntry>;
  /** Number of the latest id given by `nextId`. */
  lastId: number;
  /** Departments named in the settings. */
  departments: ReadonlySet<string>;
  isLeaving: () => boolean;
  candidates: (service: string) => readonly Candidate[];
  serviceRule: (service: string) => ServiceRule | undefined;
  limits: {
    /** Largest request body, in bytes. */
    requestBody: number;
    /** Largest number of requests that wait for the local backend server. */
    queue: number;
    /** Largest number of connections to one other daemon. */
    connectionsPerPeer: number;
  };
};
