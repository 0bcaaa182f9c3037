import type { InjectionToken } from "tsyringe";
import type { Random } from "../core/random.ts";
import type { Drain } from "../drain/drain.ts";
import type { Ledger } from "../execution/ledger.ts";
import type { ControlClient } from "../membership/control_client.ts";
import type { createGossiper } from "../membership/create_gossiper.ts";
import type { Directory } from "../membership/directory.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { Relay } from "../relay/relay.ts";
import type { Rules } from "../rules/rules.ts";
import type { RulesClient } from "../rules/rules_client.ts";
import type { RulesUpdater } from "../rules/rules_updater.ts";
import type { Verifier } from "../security/verifier.ts";
import type { Settings } from "../settings/settings.ts";
import type { ControlFetches } from "./control_fetches.ts";
import type { PlatformClients } from "./platform_clients.ts";

/** Injection tokens of the parts of a daemon in its container. */
export const ContainerToken = {
  settings: Symbol("settings") as InjectionToken<Settings>,
  clock: Symbol("clock") as InjectionToken<() => number>,
  random: Symbol("random") as InjectionToken<Random>,
  ledger: Symbol("ledger") as InjectionToken<Ledger>,
  drain: Symbol("drain") as InjectionToken<Drain>,
  directory: Symbol("directory") as InjectionToken<Directory>,
  rules: Symbol("rules") as InjectionToken<Rules>,
  platform: Symbol("platform") as InjectionToken<PlatformClients>,
  metrics: Symbol("metrics") as InjectionToken<Metrics>,
  relay: Symbol("relay") as InjectionToken<Relay>,
  verifier: Symbol("guard") as InjectionToken<Verifier>,
  fetches: Symbol("fetches") as InjectionToken<ControlFetches>,
  controlClient: Symbol("control client") as InjectionToken<ControlClient>,
  rulesClient: Symbol("rules client") as InjectionToken<RulesClient>,
  gossiper: Symbol("gossiper") as InjectionToken<
    ReturnType<typeof createGossiper>
  >,
  rulesUpdater: Symbol("rules updater") as InjectionToken<RulesUpdater>,
  seeds: Symbol("seeds") as InjectionToken<{ addresses: string[] }>,
} as const;
