import type { Deployment } from "../../deployments/deployment.ts";
import type { Fleet } from "../../fleet/fleet.ts";
import { withFleet } from "./with_fleet.ts";

const PRODUCT = ["dist/nutmegmoor.cjs"];
const NAIVE = ["--import=tsx", "naive/main.ts"];

/**
 * Runs the same body on a fleet of the product and on one of the naive daemon,
 * whose addresses use `base` and `base + 1`. Returns once all processes of both
 * have exited.
 */
export async function compareWithNaive<Value>(
  { deployment, base }: { deployment: Deployment; base: number },
  body: (fleet: Fleet) => Promise<Value>,
): Promise<{ product: Value; naive: Value }> {
  const results = await Promise.allSettled([
    withFleet({ deployment, base, program: PRODUCT }, body),
    withFleet({ deployment, base: base + 1, program: NAIVE }, body),
  ]);
  const [product, naive] = results.map((result) => {
    if (result.status === "rejected") throw result.reason;
    return result.value;
  });
  return { product: product!, naive: naive! };
}
