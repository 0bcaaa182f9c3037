import { z } from "zod";
import { fileSchema } from "./file_schema.ts";

/** Settings of one daemon, read from the sections of its file. */
export const Settings = z.object({
  daemon: fileSchema.daemon.transform((daemon) => ({
    address: daemon.address,
    ingressPort: daemon["ingress-port"],
    peerPort: daemon["peer-port"],
    localPort: daemon["local-port"],
    localAddress: daemon["local-address"],
    dataCentre: daemon["data-centre"],
    region: daemon.region,
    peers: daemon.peers,
    installationKey: daemon["installation-key"],
  })),
  platform: fileSchema.platform.transform((platform) => ({
    tableService: platform["table-service"],
    objectStore: platform["object-store"],
    accessKey: platform["access-key"],
    secretKey: platform["secret-key"],
  })).nullable(),
  departments: z.record(
    z.string(),
    fileSchema.department.transform((department) => ({
      publicKey: department["public-key"],
    })),
  ),
  limits: fileSchema.limits.transform((limits) => ({
    requestBodyKib: limits["request-body-kib"],
    headerKib: limits["header-kib"],
    queue: limits.queue,
    connectionsPerPeer: limits["connections-per-peer"],
    cachedResponsesMib: limits["cached-responses-mib"],
  })),
  log: fileSchema.log.transform((log) => ({
    /**
     * Namespaces of `debug`; if empty, the environment variable DEBUG applies.
     */
    namespaces: log.namespaces,
    flushMs: log["flush-ms"],
  })),
});
export type Settings = z.infer<typeof Settings>;
