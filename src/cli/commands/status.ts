import { z } from "zod";
import { argumentSchema } from "../argument_schema.ts";
import { defineCommand } from "../define_command.ts";
import { option } from "../option.ts";
import { showFields } from "../show_fields.ts";

/** Shows the state of one daemon. */
export const status = defineCommand({
  usage: "status",
  summary: "Show the state of a daemon and its backend server",
  options: { daemon: option.daemon, json: option.json },
  examples: [["$0 status --daemon 127.0.1.1:7002", ""]],
  schema: z.object({
    daemon: argumentSchema.listener,
    json: argumentSchema.flag,
  }),
  run: ({ daemon, json }, environment) =>
    showFields(
      { daemon, json, method: "GET", path: "/-/status" },
      environment,
    ),
});
