import type { Options } from "yargs";

/** Options shared by several commands. */
export const option = {
  daemon: {
    type: "string",
    requiresArg: true,
    default: "127.0.0.1:7002",
    describe: "Local listener of the daemon, HOST:PORT",
  },
  json: {
    type: "boolean",
    default: false,
    describe: "Print JSON for scripts",
  },
  department: {
    type: "string",
    requiresArg: true,
    describe: "Department that the command acts for",
  },
  key: {
    type: "string",
    requiresArg: true,
    describe: "File with the department's private key (PKCS#8 PEM)",
  },
} as const satisfies Record<string, Options>;
