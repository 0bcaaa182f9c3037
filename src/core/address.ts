import { isIPv4 } from "node:net";
import { z } from "zod";

const PATTERN = /^([\d.]+):(\d{1,5})$/;
const MAX_PORT = 65_535;

/** `IP:PORT` with an IPv4 address and a port that can be connected to. */
export const Address = z.string().refine((text) => {
  const match = PATTERN.exec(text);
  if (match === null || !isIPv4(match[1]!)) return false;
  const port = Number(match[2]);
  return port >= 1 && port <= MAX_PORT;
}, "Expected IP:PORT");
export type Address = z.infer<typeof Address>;
