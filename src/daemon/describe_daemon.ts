import type { DependencyContainer } from "tsyringe";
import { load } from "../admission/load.ts";
import { ContainerToken } from "./container_token.ts";

/** Returns the state of a daemon as `GET /-/status` shows it. */
export function describeDaemon(parts: DependencyContainer) {
  const relay = parts.resolve(ContainerToken.relay);
  const directory = parts.resolve(ContainerToken.directory);
  const { admission, server } = relay;
  return {
    address: relay.address,
    dataCentre: directory.identity.dataCentre,
    phase: parts.resolve(ContainerToken.drain).phase,
    service: server?.service ?? null,
    serverState: server?.state ?? null,
    slots: admission?.slots ?? null,
    limit: admission?.limit ?? null,
    inFlight: admission?.inFlight ?? null,
    queued: admission?.queue.size ?? null,
    load: admission === null ? null : load(admission),
    level: admission?.level ?? null,
    open: relay.open.size,
    members: directory.members.size,
    unreachableDataCentres: [...directory.unreachable.keys()],
    rulesSequence: parts.resolve(ContainerToken.rules).record.sequence,
    rejectedControlMessages: parts.resolve(ContainerToken.verifier).rejected,
  };
}
