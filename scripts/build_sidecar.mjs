// Bundles the daemon for the users' platform; it loads only what it needs.
import { build } from "esbuild";
import { absentLogWriter, absentPackage } from "./absent_modules.mjs";

await build({
  entryPoints: ["platform/main.ts"],
  bundle: true,
  minify: true,
  // An uncaught error prints its whole line.
  lineLimit: 160,
  platform: "node",
  format: "cjs",
  target: "node20",
  outfile: "target/sidecar.cjs",
  plugins: [absentPackage, absentLogWriter],
  logLevel: "warning",
});
