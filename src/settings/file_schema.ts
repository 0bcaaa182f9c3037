import { z } from "zod";
import { field } from "./field.ts";

const MAX_COUNT = 100_000;
const MAX_MIB = 1_024;
const MAX_KIB = 1_048_576;
// The headers of a request are held in memory whole.
const MAX_HEADER_KIB = 1_024;
const MAX_FLUSH_MS = 10_000;

const limit = {
  kib: field.wholeNumber({ unit: "KiB", min: 1, max: MAX_KIB }),
  headerKib: field.wholeNumber({ unit: "KiB", min: 1, max: MAX_HEADER_KIB }),
  mib: field.wholeNumber({ unit: "MiB", min: 1, max: MAX_MIB }),
  requests: field.wholeNumber({
    unit: "requests",
    min: 0,
    max: MAX_COUNT,
  }),
  connections: field.wholeNumber({
    unit: "connections",
    min: 1,
    max: MAX_COUNT,
  }),
  flushMs: field.wholeNumber({
    unit: "milliseconds",
    min: 1,
    max: MAX_FLUSH_MS,
  }),
};

/**
 * Schemas of the sections of a settings file, with the keys as written there.
 */
export const fileSchema = {
  daemon: z.object({
    address: field.address,
    "ingress-port": field.port,
    "peer-port": field.port,
    "local-port": field.port,
    "local-address": field.loopback.prefault("127.0.0.1"),
    "data-centre": field.name,
    region: field.name,
    peers: field.peers.prefault(""),
    "installation-key": field.installationKey,
  }),
  platform: z.object({
    "table-service": field.origin,
    "object-store": field.origin,
    "access-key": field.credential,
    "secret-key": field.credential,
  }),
  department: z.object({ "public-key": field.publicKey }),
  limits: z.object({
    "request-body-kib": limit.kib.prefault("1024"),
    "header-kib": limit.headerKib.prefault("16"),
    queue: limit.requests.prefault("256"),
    "connections-per-peer": limit.connections.prefault("64"),
    "cached-responses-mib": limit.mib.prefault("16"),
  }),
  log: z.object({
    namespaces: field.namespaces.prefault(""),
    "flush-ms": limit.flushMs.prefault("50"),
  }),
};
