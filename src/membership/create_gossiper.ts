import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import { chooseHelpers } from "./choose_helpers.ts";
import { choosePartner } from "./choose_partner.ts";
import type { ControlClient } from "./control_client.ts";
import type { Directory } from "./directory.ts";
import type { ExchangeRequest } from "./exchange_request.ts";
import { continueExchange } from "./continue_exchange.ts";
import { evaluateProbe } from "./evaluate_probe.ts";
import { recordContact } from "./record_contact.ts";
import { ownMember } from "./own_member.ts";
import { packReport } from "./pack_report.ts";
import { peersOf } from "./peers_of.ts";
import type { RulesVersion } from "./rules_version.ts";
import { startExchange } from "./start_exchange.ts";
import { tick } from "./tick.ts";

/** Number of daemons that an urgent report is pushed to. */
const PUSH_PEERS = 4;
/**
 * Share of exchanges with seeds that are not members yet. Through them, two
 * groups of daemons that started separately find each other.
 */
const SEED_SHARE = 0.03;

type Parts = {
  directory: Directory;
  client: ControlClient;
  now(): number;
  random: Random;
  log: Logger;
  rules(): RulesVersion;
  onPeerRules(peer: { address: string; rules: RulesVersion }): void;
  /** Addresses from the settings and the bootstrap rows. */
  seeds(): readonly string[];
};

/** Runs exchanges, probes and urgent pushes; the daemon owns the timers. */
type Gossiper = {
  /**
   * Checks the timeouts and runs one exchange; called every one or two seconds.
   */
  round(): Promise<void>;
  /** Pushes the own entry to a few daemons, for a planned shutdown. */
  pushOwnEntry(): Promise<void>;
};

export function createGossiper(parts: Parts): Gossiper {
  return {
    round: () => round(parts),
    pushOwnEntry: () => pushOwnEntry(parts),
  };
}

async function round(parts: Parts): Promise<void> {
  const { directory, now, random } = parts;
  tick(directory, now());
  const partner = pickPartner(parts);
  if (partner === null) return;
  const reached = await exchange(parts, partner);
  const dataCentre = directory.members.get(partner)?.entry.dataCentre;
  if (dataCentre === undefined) return;
  recordContact(directory, { address: partner, dataCentre, reached }, now());
  if (reached || dataCentre !== directory.identity.dataCentre) return;
  // An exchange within the data centre also serves as the direct probe.
  const helpers = chooseHelpers(directory, partner, random);
  const findings = await Promise.all(
    helpers.map((helper) => parts.client.indirectProbe(helper, partner)),
  );
  const verdict = evaluateProbe(
    directory,
    { target: partner, findings },
    now(),
  );
  parts.log("probe-failed", {
    target: partner,
    verdict,
    findings: findings.join(","),
  });
}

function pickPartner({ directory, random, seeds, now }: Parts): string | null {
  const { address } = directory.identity;
  const unknownSeeds = seeds().filter((seed) =>
    seed !== address && !directory.members.has(seed)
  );
  const share = peersOf(directory).size === 0 ? 1 : SEED_SHARE;
  if (unknownSeeds.length > 0 && random() < share) {
    return unknownSeeds[Math.floor(random() * unknownSeeds.length)]!;
  }
  return choosePartner(directory, random, now());
}

/** Runs all requests of one exchange; returns whether the partner answered. */
async function exchange(parts: Parts, partner: string): Promise<boolean> {
  const { directory, client, now } = parts;
  let request: ExchangeRequest | null = startExchange(directory, {
    rules: parts.rules(),
    partner,
  });
  let reached = false;
  while (request !== null) {
    const reply = await client.exchange(partner, request);
    reached ||= reply.kind !== "unreached";
    if (reply.kind !== "answered") {
      const { kind, message } = reply;
      parts.log("exchange-failed", { partner, kind, message });
      return reached;
    }
    const response = reply.value;
    parts.onPeerRules({ address: partner, rules: response.rules });
    request = continueExchange(directory, { request, response }, now());
  }
  return reached;
}

async function pushOwnEntry(parts: Parts): Promise<void> {
  const { directory, client, random, now } = parts;
  const reports = [packReport(ownMember(directory))];
  const peers = new Set<string>();
  for (let attempt = 0; attempt < 2 * PUSH_PEERS; attempt++) {
    const peer = choosePartner(directory, random, now());
    if (peer !== null && peers.size < PUSH_PEERS) peers.add(peer);
  }
  await Promise.all(
    [...peers].map((peer) => client.push(peer, { reports })),
  );
}
