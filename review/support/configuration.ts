/** Limits of the operator's configuration in the small deployments. */
const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 67_108_864,
  headerTimeoutS: 3,
  idleTimeoutS: 15,
};

/** A route of the operator's configuration. */
export type RouteRule = {
  prefix: string;
  service: string;
  kind?: "safe" | "unsafe";
  timeoutS?: number;
};

/** Builds a configuration in the operator's format, with one host. */
export function configuration(
  version: number,
  { services, routes }: {
    services: readonly string[];
    routes: readonly RouteRule[];
  },
): object {
  return {
    version: `r${version}`,
    limits: LIMITS,
    listeners: [{
      host: "site.example",
      rules: routes.map(
        ({ prefix, service, kind = "safe", timeoutS = 5 }) => ({
          name: `route${prefix.replaceAll("/", "-")}`,
          kind,
          targetLatencyS: 1.5,
          priority: 1,
          match: { prefix },
          action: { service, timeoutS, maxAttempts: 2 },
        }),
      ),
    }],
    clusters: services.map((name) => ({
      name,
      healthCheckPath: "/health",
      maxConnections: 748,
    })),
  };
}
