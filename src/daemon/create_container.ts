import {
  container as rootContainer,
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
import { rulesVersionOf } from "./rules_version_of.ts";
import { ContainerToken } from "./container_token.ts";

const MIB = 1024 * 1024;

/**
 * Creates the dependency container of a daemon; its parts are created on first
 * use.
 */
export function createContainer(settings: Settings): DependencyContainer {
  const container = rootContainer.createChildContainer();
  registerValues(container, settings);
  registerState(container, settings);
  registerControl(container, settings);
  container.register(ContainerToken.relay, {
    useFactory: instanceCachingFactory(relay),
  });
  container.register(ContainerToken.rulesUpdater, {
    useFactory: instanceCachingFactory(rulesUpdater),
  });
  container.register(ContainerToken.gossiper, {
    useFactory: instanceCachingFactory(gossiper),
  });
  return container;
}

function ownAddress({ daemon }: Settings): string {
  return `${daemon.address}:${daemon.peerPort}`;
}

function registerValues(
  container: DependencyContainer,
  settings: Settings,
): void {
  const maxCachedBytes = settings.limits.cachedResponsesMib * MIB;
  const ledger = createLedger(ownAddress(settings), { maxCachedBytes });
  container.register(ContainerToken.settings, { useValue: settings });
  container.register(ContainerToken.clock, {
    useValue: () => performance.now(),
  });
  container.register(ContainerToken.random, { useValue: Math.random });
  container.register(ContainerToken.ledger, { useValue: ledger });
  container.register(ContainerToken.drain, { useValue: createDrain() });
  container.register(ContainerToken.metrics, { useValue: createMetrics() });
  container.register(ContainerToken.platform, {
    useValue: createPlatformClients(settings),
  });
  container.register(ContainerToken.seeds, {
    useValue: { addresses: [...settings.daemon.peers] },
  });
}

function registerState(
  container: DependencyContainer,
  settings: Settings,
): void {
  container.register(ContainerToken.directory, {
    useFactory: instanceCachingFactory((container) =>
      createDirectory({
        address: ownAddress(settings),
        dataCentre: settings.daemon.dataCentre,
        instance: container.resolve(ContainerToken.ledger).instance,
        incarnation: Date.now(),
      }, container.resolve(ContainerToken.clock)())
    ),
  });
  container.register(ContainerToken.rules, {
    useFactory: instanceCachingFactory(() =>
      createRules({ departmentKeys: departmentKeys(settings) })
    ),
  });
}

/** Registers what sends and receives control messages. */
function registerControl(
  container: DependencyContainer,
  settings: Settings,
): void {
  const key = settings.daemon.installationKey;
  container.register(ContainerToken.verifier, {
    useFactory: instanceCachingFactory((container) =>
      createVerifier({
        key,
        address: ownAddress(settings),
        instance: container.resolve(ContainerToken.ledger).instance,
      })
    ),
  });
  container.register(ContainerToken.fetches, {
    useFactory: instanceCachingFactory((container) =>
      createControlFetches({
        key,
        directory: container.resolve(ContainerToken.directory),
      })
    ),
  });
  container.register(ContainerToken.controlClient, {
    useFactory: instanceCachingFactory((container) =>
      createControlClient(container.resolve(ContainerToken.fetches))
    ),
  });
  container.register(ContainerToken.rulesClient, {
    useFactory: instanceCachingFactory((container) =>
      createRulesClient(container.resolve(ContainerToken.fetches))
    ),
  });
}

function relay(container: DependencyContainer) {
  const directory = container.resolve(ContainerToken.directory);
  const rules = container.resolve(ContainerToken.rules);
  const drain = container.resolve(ContainerToken.drain);
  return createRelay({
    settings: container.resolve(ContainerToken.settings),
    ledger: container.resolve(ContainerToken.ledger),
    table: container.resolve(ContainerToken.platform).stores?.table ?? null,
    metrics: container.resolve(ContainerToken.metrics),
    clock: container.resolve(ContainerToken.clock),
    random: container.resolve(ContainerToken.random),
    isLeaving: () => drain.phase !== "serving",
    candidates: (service) => candidates(directory, service),
    serviceRule: (service) => getServiceRule(rules, service),
  });
}

function rulesUpdater(container: DependencyContainer) {
  const directory = container.resolve(ContainerToken.directory);
  const { address, dataCentre } = directory.identity;
  return createRulesUpdater({
    rules: container.resolve(ContainerToken.rules),
    stores: container.resolve(ContainerToken.platform).stores,
    client: container.resolve(ContainerToken.rulesClient),
    now: container.resolve(ContainerToken.clock),
    random: container.resolve(ContainerToken.random),
    log: createLogger("rules"),
    address,
    dataCentre,
    live: () => [address, ...(peersOf(directory).get(dataCentre) ?? [])],
    peers: () => [...peersOf(directory).values()].flat(),
  });
}

function gossiper(container: DependencyContainer) {
  const rules = container.resolve(ContainerToken.rules);
  const updater = container.resolve(ContainerToken.rulesUpdater);
  return createGossiper({
    directory: container.resolve(ContainerToken.directory),
    client: container.resolve(ContainerToken.controlClient),
    now: container.resolve(ContainerToken.clock),
    random: container.resolve(ContainerToken.random),
    log: createLogger("membership"),
    rules: () => rulesVersionOf(rules),
    onPeerRules: (peer) =>
      updater.observeHead(peer.address, peer.rules.sequence),
    seeds: () => container.resolve(ContainerToken.seeds).addresses,
  });
}
