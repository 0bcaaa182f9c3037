import type { DependencyContainer } from "tsyringe";
import { load } from "../admission/load.ts";
import { ContainerToken } from "./container_token.ts";

/** Returns the state of a daemon as `GET /-/status` shows it. */
export function describeDaemon(container: DependencyContainer) {
  const relay = container.resolve(ContainerToken.relay);
  const directory = container.resolve(ContainerToken.directory);
  const { admission, server } = relay;
  return {
    address: relay.address,
    dataCentre: directory.identity.dataCentre,
    phase: container.resolve(ContainerToken.drain).phase,
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
    rulesSequence: container.resolve(ContainerToken.rules).record.sequence,
    rejectedControlMessages:
      container.resolve(ContainerToken.verifier).rejected,
  };
}
