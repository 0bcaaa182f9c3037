import { Deployment } from "../../deployments/deployment.ts";

type Operation = Deployment["services"][number]["operations"][number];

const SERVICES = ["front", "back"] as const;

/** Attributes that all operations share. */
const common = {
  method: "GET",
  importance: "normal",
  idempotent: true,
  // Longer than any test run, so that no request reaches its deadline.
  deadlineMs: 60_000,
  workMs: 0,
  bytes: 100,
  parallel: false,
} as const;

/**
 * Returns two services with call chains of several depths that alternate
 * between them, `/deep-DEPTH/LEVEL`, and an operation that fans out, `/wide/…`.
 */
export function chainsDeployment(
  { depths, branches, retries }: {
    depths: number[];
    branches: string[];
    retries: number;
  },
): Deployment {
  const services = SERVICES.map((name) => ({
    name,
    slots: 100,
    connections: 200,
    operations: [] as Operation[],
  }));
  const add = (level: number, path: string, next: string[]) =>
    services[level % 2]!.operations.push({
      ...common,
      name: path.slice(1).replaceAll("/", "-"),
      path,
      retries,
      parallel: next.length > 1,
      calls: next.map((target) => ({
        method: "GET",
        path: `/${SERVICES[(level + 1) % 2]}${target}`,
      })),
    });
  for (const depth of depths) {
    for (let level = 0; level < depth; level++) {
      const next = level + 1 < depth ? [`/deep-${depth}/${level + 1}`] : [];
      add(level, `/deep-${depth}/${level}`, next);
    }
  }
  add(0, "/wide/0", branches.map((branch) => `/wide/${branch}-1`));
  for (const branch of branches) {
    add(1, `/wide/${branch}-1`, [`/wide/${branch}-2`]);
    add(2, `/wide/${branch}-2`, []);
  }
  return Deployment.parse({
    name: "chains",
    department: "proof",
    dataCentres: ["one"],
    services,
    traffic: [],
  });
}
