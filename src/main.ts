import "reflect-metadata";
import process from "node:process";
import { run } from "./cli/run.ts";

run(process.argv.slice(2)).then((status) => {
  process.exitCode = status;
});
