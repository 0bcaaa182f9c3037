import { generateKeyPairSync } from "node:crypto";
import { writeFileSync } from "node:fs";
import { z } from "zod";
import { argumentSchema } from "../../argument_schema.ts";
import { defineCommand } from "../../define_command.ts";
import { ExitStatus } from "../../exit_status.ts";
import { option } from "../../option.ts";

const OWNER_ONLY = 0o600;

/** Generates a key pair for a department. The private key is never printed. */
export const keygen = defineCommand({
  usage: "keygen",
  summary: "Generate a department key and print its line for the settings",
  options: {
    out: {
      type: "string",
      requiresArg: true,
      describe: "New file for the private key (PKCS#8 PEM, mode 0600)",
    },
    json: option.json,
  },
  examples: [["$0 rules keygen --out bakery.pem", ""]],
  schema: z.object({ out: argumentSchema.file, json: argumentSchema.flag }),
  run({ out: file, json }, { out, err }) {
    const { publicKey, privateKey } = generateKeyPairSync("ed25519");
    const pem = privateKey.export({ type: "pkcs8", format: "pem" });
    try {
      writeFileSync(file, pem, { mode: OWNER_ONLY, flag: "wx" });
    } catch (error) {
      const { code } = error as NodeJS.ErrnoException;
      err(`Argument --out: found ${code}, expected the path of a new file\n`);
      return Promise.resolve(ExitStatus.usage);
    }
    const key = publicKey.export({ type: "spki", format: "der" })
      .toString("base64");
    out(
      json
        ? `${JSON.stringify({ publicKey: key, file })}\n`
        : `public-key = ${key}\n`,
    );
    return Promise.resolve(ExitStatus.ok);
  },
});
