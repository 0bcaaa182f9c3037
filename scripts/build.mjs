// Bundles the program and, with --binary, makes one executable of it.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { copyFileSync, mkdirSync, writeFileSync } from "node:fs";
import process from "node:process";
import { absentPackage } from "./absent_modules.mjs";

mkdirSync("dist", { recursive: true });
await build({
  entryPoints: ["src/main.ts"],
  bundle: true,
  minify: true,
  platform: "node",
  format: "cjs",
  target: "node20",
  outfile: "dist/nutmegmoor.cjs",
  plugins: [absentPackage],
  logLevel: "warning",
});

if (process.argv.includes("--binary")) {
  const config = {
    main: "dist/nutmegmoor.cjs",
    output: "dist/nutmegmoor.blob",
    disableExperimentalSEAWarning: true,
    useCodeCache: true,
  };
  writeFileSync("dist/sea.json", JSON.stringify(config));
  execFileSync(process.execPath, [
    "--experimental-sea-config",
    "dist/sea.json",
  ]);
  copyFileSync(process.execPath, "dist/nutmegmoor");
  execFileSync("node_modules/.bin/postject", [
    "dist/nutmegmoor",
    "NODE_SEA_BLOB",
    "dist/nutmegmoor.blob",
    "--sentinel-fuse",
    "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2",
  ], { stdio: ["ignore", "ignore", "ignore"] });
}
