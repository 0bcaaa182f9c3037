import type { Deployment } from "../deployments/deployment.ts";

/** One backend server VM. */
type Vm = { service: string; dataCentre: string; host: string };

/**
 * Lays a deployment out: one server of each service in each data centre, each
 * VM with an address `127.BASE.CENTRE.NUMBER` of its own.
 */
export function assignVms(deployment: Deployment, base: number): Vm[] {
  return deployment.dataCentres.flatMap((dataCentre, centre) =>
    deployment.services.map(({ name }, number) => ({
      service: name,
      dataCentre,
      host: `127.${base}.${centre + 1}.${number + 1}`,
    }))
  );
}
