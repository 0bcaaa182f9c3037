import type { Stores } from "../rules/stores.ts";

/** Clients of the platform's services; null where the settings name none. */
export type PlatformClients = { stores: Stores | null; close(): Promise<void> };
