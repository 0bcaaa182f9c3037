import { z } from "zod";
import { argumentSchema } from "../argument_schema.ts";
import { defineCommand } from "../define_command.ts";
import { ExitStatus } from "../exit_status.ts";
import { loadSettings } from "../load_settings.ts";
import { option } from "../option.ts";

/** Checks a settings file without opening anything that it names. */
export const checkSettings = defineCommand({
  usage: "check-settings <file>",
  summary: "Check a settings file and list all of its problems",
  positionals: { file: "Settings file, or - for standard input" },
  options: { json: option.json },
  examples: [["$0 check-settings settings/viti-levu.ini", ""]],
  schema: z.object({ file: argumentSchema.file, json: argumentSchema.flag }),
  run({ file, json }, { out, err }) {
    const loaded = loadSettings(file);
    if (json) {
      const issues = loaded.ok ? [] : loaded.issues;
      out(`${JSON.stringify({ ok: loaded.ok, issues })}\n`);
    } else if (loaded.ok) {
      out(`${file}: no problems found\n`);
    }
    // An unreadable file has no issues, so --json alone would not report it.
    if (!loaded.ok && (!json || loaded.issues.length === 0)) err(loaded.lines);
    return Promise.resolve(loaded.ok ? ExitStatus.ok : ExitStatus.usage);
  },
});
