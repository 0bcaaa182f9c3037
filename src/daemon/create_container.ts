import {
  container,
  type DependencyContainer,
  instanceCachingFactory,
} from "tsyringe";
import { createLogger } from "../core/create_logger.ts";
import { createDrain } from "../drain/create_drain.ts";
import { createLedger } from "../execution/create_ledger.ts";
import { candidates } from "../membership/candidates.ts";
import { createControlClient } from "../membership/create_control_client.ts";
import { createDirectory } from "../membership/create_directory.ts";
import { createGossiper } from "../membership/create_gossiper.ts";
import { peersOf } from "../membership/peers_of.ts";
import { createMetrics } from "../metrics/create_metrics.ts";
import { createRules } from "../rules/create_rules.ts";
import { createRulesClient } from "../rules/create_rules_client.ts";
import { createRulesKeeper } from "../rules/create_rules_keeper.ts";
import { serviceRule } from "../rules/get_service_rule.ts";
import { createGuard } from "../security/create_guard.ts";
import type { Settings } from "../settings/settings.ts";
import { createControlFetches } from "./create_control_fetches.ts";
import { createRelay } from "./create_relay.ts";
import { createStores } from "./create_stores.ts";
import { departmentKeys } from "./department_keys.ts";
import { rulesMark } from "./rules_mark.ts";
import { Token } from "./token.ts";

const MIB = 1024 * 1024;

/** Registers the parts of a daemon; each is created when it is first needed. */
export function createContainer(settings: Settings): DependencyContainer {
  const parts = container.createChildContainer();
  registerValues(parts, settings);
  registerState(parts, settings);
  registerControl(parts, settings);
  parts.register(Token.relay, { useFactory: instanceCachingFactory(relay) });
  parts.register(Token.keeper, { useFactory: instanceCachingFactory(keeper) });
  parts.register(Token.gossiper, {
    useFactory: instanceCachingFactory(gossiper),
  });
  return parts;
}

function ownAddress({ daemon }: Settings): string {
  return `${daemon.address}:${daemon.peerPort}`;
}

function registerValues(parts: DependencyContainer, settings: Settings): void {
  const maxCachedBytes = settings.limits.cachedResponsesMib * MIB;
  const ledger = createLedger(ownAddress(settings), { maxCachedBytes });
  parts.register(Token.settings, { useValue: settings });
  parts.register(Token.clock, { useValue: () => performance.now() });
  parts.register(Token.random, { useValue: Math.random });
  parts.register(Token.ledger, { useValue: ledger });
  parts.register(Token.drain, { useValue: createDrain() });
  parts.register(Token.metrics, { useValue: createMetrics() });
  parts.register(Token.platform, { useValue: createStores(settings) });
  parts.register(Token.seeds, {
    useValue: { addresses: [...settings.daemon.peers] },
  });
}

function registerState(parts: DependencyContainer, settings: Settings): void {
  parts.register(Token.directory, {
    useFactory: instanceCachingFactory((parts) =>
      createDirectory({
        address: ownAddress(settings),
        dataCentre: settings.daemon.dataCentre,
        instance: parts.resolve(Token.ledger).instance,
        incarnation: Date.now(),
      }, parts.resolve(Token.clock)())
    ),
  });
  parts.register(Token.rules, {
    useFactory: instanceCachingFactory(() =>
      createRules({ departmentKeys: departmentKeys(settings) })
    ),
  });
}

/** Registers what sends and receives control messages. */
function registerControl(parts: DependencyContainer, settings: Settings): void {
  const key = settings.daemon.installationKey;
  parts.register(Token.guard, {
    useFactory: instanceCachingFactory((parts) =>
      createGuard({
        key,
        address: ownAddress(settings),
        instance: parts.resolve(Token.ledger).instance,
      })
    ),
  });
  parts.register(Token.fetches, {
    useFactory: instanceCachingFactory((parts) =>
      createControlFetches({ key, directory: parts.resolve(Token.directory) })
    ),
  });
  parts.register(Token.controlClient, {
    useFactory: instanceCachingFactory((parts) =>
      createControlClient(parts.resolve(Token.fetches))
    ),
  });
  parts.register(Token.rulesClient, {
    useFactory: instanceCachingFactory((parts) =>
      createRulesClient(parts.resolve(Token.fetches))
    ),
  });
}

function relay(parts: DependencyContainer) {
  const directory = parts.resolve(Token.directory);
  const rules = parts.resolve(Token.rules);
  const drain = parts.resolve(Token.drain);
  return createRelay({
    settings: parts.resolve(Token.settings),
    ledger: parts.resolve(Token.ledger),
    table: parts.resolve(Token.platform).stores?.table ?? null,
    metrics: parts.resolve(Token.metrics),
    clock: parts.resolve(Token.clock),
    random: parts.resolve(Token.random),
    isLeaving: () => drain.phase !== "serving",
    candidates: (service) => candidates(directory, service),
    serviceRule: (service) => serviceRule(rules, service),
  });
}

function keeper(parts: DependencyContainer) {
  const directory = parts.resolve(Token.directory);
  const { address, dataCentre } = directory.identity;
  return createRulesKeeper({
    rules: parts.resolve(Token.rules),
    stores: parts.resolve(Token.platform).stores,
    client: parts.resolve(Token.rulesClient),
    now: parts.resolve(Token.clock),
    random: parts.resolve(Token.random),
    log: createLogger("rules"),
    address,
    dataCentre,
    live: () => [address, ...(peersOf(directory).get(dataCentre) ?? [])],
    peers: () => [...peersOf(directory).values()].flat(),
  });
}

function gossiper(parts: DependencyContainer) {
  const rules = parts.resolve(Token.rules);
  const keeper = parts.resolve(Token.keeper);
  return createGossiper({
    directory: parts.resolve(Token.directory),
    client: parts.resolve(Token.controlClient),
    now: parts.resolve(Token.clock),
    random: parts.resolve(Token.random),
    log: createLogger("membership"),
    rules: () => rulesMark(rules),
    noteRules: (mark) => keeper.noteHead(mark.address, mark.rules.sequence),
    seeds: () => parts.resolve(Token.seeds).addresses,
  });
}
