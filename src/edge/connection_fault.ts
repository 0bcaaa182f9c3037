import type { ReadFault } from "../http1/read_fault.ts";

/** Why a client connection is rejected and closed. */
export type ConnectionFault = ReadFault | "head-timeout" | "body-timeout";
