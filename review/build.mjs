// Bundles the cases' scripts with the stand-ins that they start.
import { build } from "esbuild";
import { existsSync, readdirSync } from "node:fs";

const cases = readdirSync("review").filter((name) =>
  existsSync(`review/${name}/main.ts`)
);
await build({
  entryPoints: cases.map((name) => ({
    in: `review/${name}/main.ts`,
    out: `case-${name}`,
  })),
  bundle: true,
  platform: "node",
  format: "esm",
  target: "node20",
  outExtension: { ".js": ".mjs" },
  outdir: "target/review",
  logLevel: "warning",
});
