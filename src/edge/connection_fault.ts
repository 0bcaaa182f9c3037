import type { ReadFault } from "../http1/read_fault.ts";

/** Why a client's connection is given up. */
export type ConnectionFault = ReadFault | "head-timeout" | "body-timeout";
