import { readFileSync } from "node:fs";
import process from "node:process";
import { parseSettings } from "../src/settings/parse_settings.ts";
import { startNaiveDaemon } from "./start_naive_daemon.ts";

// Takes the same arguments as the product: daemon --settings FILE. A signal ends
// it immediately, without draining the requests in flight.
const file = process.argv[process.argv.indexOf("--settings") + 1] ?? "";
const settings = parseSettings(readFileSync(file, "utf8"));
if (!settings.ok) throw new Error(JSON.stringify(settings.issues));
await startNaiveDaemon(settings.value.daemon);
console.log("listening");
