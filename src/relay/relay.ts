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

/** State of the data path of one daemon, and what it needs from others. */
export type Relay = {
  /** Address of the own peer listener. */
  address: string;
  clock: () => number;
  random: Random;
  log: Logger;
  metrics: Metrics;
  routing: Routing;
  shedding: Shedding;
  ledger: Ledger;
  resends: Resends;
  /** For claims by key; null where the settings name no platform. */
  table: TableService | null;
  /** The own backend server, or null while none announces itself. */
  server: Announcement | null;
  admission: Admission | null;
  /** Connections to the own backend server. */
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
  /** Everything that has a deadline. */
  open: Set<DeadlineEntry>;
  /** Number of the latest id given by `nextId`. */
  lastId: number;
  /** Departments of the settings. */
  departments: ReadonlySet<string>;
  isLeaving: () => boolean;
  candidates: (service: string) => readonly Candidate[];
  serviceRule: (service: string) => ServiceRule | undefined;
  limits: {
    /** Largest request body, in bytes. */
    requestBody: number;
    /** Most requests that wait for the own backend server. */
    queue: number;
    /** Connections to one other daemon. */
    connectionsPerPeer: number;
  };
};
