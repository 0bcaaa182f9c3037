import { z } from "zod";
import { argumentSchema } from "../argument_schema.ts";
import { defineCommand } from "../define_command.ts";
import { option } from "../option.ts";
import { showFields } from "../show_fields.ts";

/** Starts a graceful shutdown of a daemon. */
export const drain = defineCommand({
  usage: "drain",
  summary: "Shut a daemon down after its in-flight requests have finished",
  options: { daemon: option.daemon, json: option.json },
  examples: [["$0 drain --daemon 127.0.1.1:7002", ""]],
  schema: z.object({
    daemon: argumentSchema.listener,
    json: argumentSchema.flag,
  }),
  run: ({ daemon, json }, environment) =>
    showFields(
      { daemon, json, method: "POST", path: "/-/drain" },
      environment,
    ),
});
