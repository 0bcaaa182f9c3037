// Bundles the daemon for the users' platform; it loads only what it needs.
import { build } from "esbuild";
import { absentPackage } from "./absent_package.mjs";

await build({
  entryPoints: ["platform/main.ts"],
  bundle: true,
  minifyWhitespace: false,
  platform: "node",
  format: "cjs",
  target: "node20",
  outfile: "target/sidecar.cjs",
  plugins: [absentPackage],
  logLevel: "warning",
});
