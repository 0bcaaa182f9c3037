/**
 * Whether a message of a frequent kind is valid. Accepts nothing that the
 * schema of the kind rejects, but allocates nothing: a schema does for each
 * element, which shows in the processing time of calls.
 */
export function isFrequentMessage(message: readonly unknown[]): boolean {
  return CHECKS.get(message[0])?.(message) ?? false;
}

const CHECKS: ReadonlyMap<unknown, (message: readonly unknown[]) => boolean> =
  new Map(Object.entries(
    {
      request: ([, stream, head, remainingMs, body, total]) =>
        isCount(stream) && isCallHead(head) && isCount(remainingMs) &&
        body instanceof Uint8Array && (total === undefined || isCount(total)),
      answered: ([, stream, status, fields, body, load, route, total]) =>
        isCount(stream) && isCount(status) && status >= 100 && status <= 599 &&
        isFieldList(fields) && body instanceof Uint8Array && isAmount(load) &&
        (route === null || isRouteReport(route)) &&
        (total === undefined || isCount(total)),
      "not-run": ([, stream, reason, waitMs, arrived, load]) =>
        isCount(stream) && typeof reason === "string" && isAmount(waitMs) &&
        typeof arrived === "boolean" && isAmount(load),
      unknown: ([, stream, reason, load]) =>
        isCount(stream) && typeof reason === "string" && isAmount(load),
      cancel: ([, stream]) => isCount(stream),
      load: ([, load, runMs]) => isAmount(load) && isAmount(runMs),
      ping: () => true,
      pong: () => true,
      piece: ([, stream, total, bytes]) =>
        isCount(stream) && isCount(total) && bytes instanceof Uint8Array,
      "piece-read": ([, bytes]) => isCount(bytes),
    } satisfies Record<string, (message: readonly unknown[]) => boolean>,
  ));

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isAmount(value: unknown): boolean {
  return Number.isFinite(value) && (value as number) >= 0;
}

function isFieldList(value: unknown): boolean {
  return Array.isArray(value) && value.length % 2 === 0 &&
    value.every((text) => typeof text === "string");
}

function isCallHead(value: unknown): boolean {
  if (!Array.isArray(value)) return false;
  const [id, method, target, fields, route, serverId] = value;
  const [, , , , , , nested, rank, repeatable, repeated] = value;
  return typeof id === "string" && typeof method === "string" &&
    typeof target === "string" && isFieldList(fields) &&
    typeof route === "string" && typeof serverId === "string" &&
    typeof nested === "boolean" && Number.isFinite(rank) &&
    typeof repeatable === "boolean" &&
    (repeated === undefined || isAmount(repeated));
}

function isRouteReport(value: unknown): boolean {
  if (typeof value !== "object" || value === null) return false;
  const { root, costs } = value as { root?: unknown; costs?: unknown };
  return typeof root === "boolean" && Array.isArray(costs) &&
    costs.every((cost: { service?: unknown; slotMs?: unknown } | null) =>
      cost !== null && typeof cost === "object" &&
      typeof cost.service === "string" && isAmount(cost.slotMs)
    );
}
