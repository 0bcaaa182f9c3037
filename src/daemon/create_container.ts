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
import { createRulesUpdater } from "../rules/create_rules_updater.ts";
import { getServiceRule } from "../rules/get_service_rule.ts";
import { createVerifier } from "../security/create_verifier.ts";
import type { Settings } from "../settings/settings.ts";
import { createControlFetches } from "./create_control_fetches.ts";
import { createRelay } from "./create_relay.ts";
import { createPlatformClients } from "./create_platform_clients.ts";
import { departmentKeys } from "./department_keys.ts";
import { rulesMark } from "./rules_mark.ts";
import { ContainerToken } from "./container_token.ts";

const MIB = 1024 * 1024;

/** Registers the parts of a daemon; each is created when it is first needed. */
export function createContainer(settings: Settings): DependencyContainer {
  const parts = container.createChildContainer();
  registerValues(parts, settings);
  registerState(parts, settings);
  registerControl(parts, settings);
  parts.register(ContainerToken.relay, {
    useFactory: instanceCachingFactory(relay),
  });
  parts.register(ContainerToken.keeper, {
    useFactory: instanceCachingFactory(keeper),
  });
  parts.register(ContainerToken.gossiper, {
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
  parts.register(ContainerToken.settings, { useValue: settings });
  parts.register(ContainerToken.clock, { useValue: () => performance.now() });
  parts.register(ContainerToken.random, { useValue: Math.random });
  parts.register(ContainerToken.ledger, { useValue: ledger });
  parts.register(ContainerToken.drain, { useValue: createDrain() });
  parts.register(ContainerToken.metrics, { useValue: createMetrics() });
  parts.register(ContainerToken.platform, {
    useValue: createPlatformClients(settings),
  });
  parts.register(ContainerToken.seeds, {
    useValue: { addresses: [...settings.daemon.peers] },
  });
}

function registerState(parts: DependencyContainer, settings: Settings): void {
  parts.register(ContainerToken.directory, {
    useFactory: instanceCachingFactory((parts) =>
      createDirectory({
        address: ownAddress(settings),
        dataCentre: settings.daemon.dataCentre,
        instance: parts.resolve(ContainerToken.ledger).instance,
        incarnation: Date.now(),
      }, parts.resolve(ContainerToken.clock)())
    ),
  });
  parts.register(ContainerToken.rules, {
    useFactory: instanceCachingFactory(() =>
      createRules({ departmentKeys: departmentKeys(settings) })
    ),
  });
}

/** Registers what sends and receives control messages. */
function registerControl(parts: DependencyContainer, settings: Settings): void {
  const key = settings.daemon.installationKey;
  parts.register(ContainerToken.verifier, {
    useFactory: instanceCachingFactory((parts) =>
      createVerifier({
        key,
        address: ownAddress(settings),
        instance: parts.resolve(ContainerToken.ledger).instance,
      })
    ),
  });
  parts.register(ContainerToken.fetches, {
    useFactory: instanceCachingFactory((parts) =>
      createControlFetches({
        key,
        directory: parts.resolve(ContainerToken.directory),
      })
    ),
  });
  parts.register(ContainerToken.controlClient, {
    useFactory: instanceCachingFactory((parts) =>
      createControlClient(parts.resolve(ContainerToken.fetches))
    ),
  });
  parts.register(ContainerToken.rulesClient, {
    useFactory: instanceCachingFactory((parts) =>
      createRulesClient(parts.resolve(ContainerToken.fetches))
    ),
  });
}

function relay(parts: DependencyContainer) {
  const directory = parts.resolve(ContainerToken.directory);
  const rules = parts.resolve(ContainerToken.rules);
  const drain = parts.resolve(ContainerToken.drain);
  return createRelay({
    settings: parts.resolve(ContainerToken.settings),
    ledger: parts.resolve(ContainerToken.ledger),
    table: parts.resolve(ContainerToken.platform).stores?.table ?? null,
    metrics: parts.resolve(ContainerToken.metrics),
    clock: parts.resolve(ContainerToken.clock),
    random: parts.resolve(ContainerToken.random),
    isLeaving: () => drain.phase !== "serving",
    candidates: (service) => candidates(directory, service),
    serviceRule: (service) => getServiceRule(rules, service),
  });
}

function keeper(parts: DependencyContainer) {
  const directory = parts.resolve(ContainerToken.directory);
  const { address, dataCentre } = directory.identity;
  return createRulesUpdater({
    rules: parts.resolve(ContainerToken.rules),
    stores: parts.resolve(ContainerToken.platform).stores,
    client: parts.resolve(ContainerToken.rulesClient),
    now: parts.resolve(ContainerToken.clock),
    random: parts.resolve(ContainerToken.random),
    log: createLogger("rules"),
    address,
    dataCentre,
    live: () => [address, ...(peersOf(directory).get(dataCentre) ?? [])],
    peers: () => [...peersOf(directory).values()].flat(),
  });
}

function gossiper(parts: DependencyContainer) {
  const rules = parts.resolve(ContainerToken.rules);
  const keeper = parts.resolve(ContainerToken.keeper);
  return createGossiper({
    directory: parts.resolve(ContainerToken.directory),
    client: parts.resolve(ContainerToken.controlClient),
    now: parts.resolve(ContainerToken.clock),
    random: parts.resolve(ContainerToken.random),
    log: createLogger("membership"),
    rules: () => rulesMark(rules),
    onPeerRules: (mark) =>
      keeper.observeHead(mark.address, mark.rules.sequence),
    seeds: () => parts.resolve(ContainerToken.seeds).addresses,
  });
}
