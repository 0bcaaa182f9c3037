import "reflect-metadata";
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { run } from "./cli/run.ts";

// The young generation would grow to 48 MB, and a daemon under calls to more
// than its 128 MB. V8 reads its limit only at the start of the process, before
// a single executable could set it, but this factor at every growth.
setFlagsFromString("--semi-space-growth-factor=1");

run(process.argv.slice(2)).then((status) => {
  process.exitCode = status;
});
