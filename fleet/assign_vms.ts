import type { Deployment } from "../deployments/deployment.ts";

/** One backend server VM. */
type Vm = { service: string; dataCentre: string; host: string };

/**
 * Assigns the servers of a deployment to VMs: one of each service in each data
 * centre. The address of a VM is `127.BASE.DATA_CENTRE.SERVICE`, counted from 1.
 */
export function assignVms(deployment: Deployment, base: number): Vm[] {
  return deployment.dataCentres.flatMap((dataCentre, dataCentreIndex) =>
    deployment.services.map(({ name }, serviceIndex) => ({
      service: name,
      dataCentre,
      host: `127.${base}.${dataCentreIndex + 1}.${serviceIndex + 1}`,
    }))
  );
}
