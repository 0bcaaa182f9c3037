import { z } from "zod";

const HOST_AND_PORT = /^(\[[0-9a-f:.]+\]|[\w.-]+):(\d{1,5})$/;
const MAX_PORT = 65_535;

function text(expected: string, isValid: (text: string) => boolean) {
  return z.string({ error: expected }).refine(isValid, { error: expected });
}

function isHostAndPort(value: string): boolean {
  const port = Number(HOST_AND_PORT.exec(value)?.[2] ?? 0);
  return port > 0 && port <= MAX_PORT;
}

const listener = text("one HOST:PORT such as 127.0.0.1:7002", isHostAndPort);

/** Schemas of single arguments. The error of each names the expected value. */
export const argumentSchema = {
  listener,
  listeners: z.array(listener),
  file: text("the path of one file", (value) => value !== ""),
  name: text(
    "one name of lower-case letters, digits and hyphens",
    (value) => /^[a-z][a-z0-9-]{0,63}$/.test(value),
  ),
  changeId: text(
    "one change id of letters, digits, dots and hyphens",
    (value) => /^[\w.-]{1,64}$/.test(value),
  ),
  version: z.int({ error: "one whole number from 1" })
    .min(1, { error: "one whole number from 1" }),
  digest: text(
    "one digest of 64 characters, as rules submit prints it",
    (value) => /^[0-9a-f]{64}$/.test(value),
  ),
  publicKey: text(
    "one public key, as rules keygen prints it",
    (value) => /^[\w+/]{43,}=*$/.test(value),
  ),
  files: z.array(text("the path of one file", (value) => value !== "")),
  flag: z.boolean({ error: "the option once, without a value" }),
};
