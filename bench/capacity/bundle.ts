import { build } from "esbuild";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** Bundles an entry point as the program itself is and returns the file. */
export async function bundle(entryPoint: string): Promise<string> {
  const outfile = join(mkdtempSync(join(tmpdir(), "nutmegmoor-")), "bench.cjs");
  await build({
    entryPoints: [entryPoint],
    bundle: true,
    minify: true,
    platform: "node",
    format: "cjs",
    target: "node20",
    outfile,
    external: ["supports-color"],
    logLevel: "error",
  });
  return outfile;
}
