import { build, type Plugin } from "esbuild";
import { join, relative, resolve } from "node:path";
import process from "node:process";
import { RECORDED_CALLS } from "./recorded_calls.ts";

const SOURCE = resolve("src");
const RECORDED = "recorded";

/** Replaces each decision function by a wrapper that records its calls. */
const recorder: Plugin = {
  name: RECORDED,
  setup(bundle) {
    bundle.onResolve(
      { filter: /\.ts$/ },
      ({ path, importer, namespace, resolveDir }) => {
        const file = relative(SOURCE, join(resolveDir, path));
        if (namespace === RECORDED || importer === "") return undefined;
        return file in RECORDED_CALLS
          ? { path: file, namespace: RECORDED }
          : undefined;
      },
    );
    bundle.onLoad({ filter: /.*/, namespace: RECORDED }, ({ path }) => {
      const name = RECORDED_CALLS[path]!;
      const original = JSON.stringify(join(SOURCE, path));
      const record = JSON.stringify(resolve("test/record/record_call.ts"));
      return {
        resolveDir: process.cwd(),
        contents: `import { ${name} as original } from ${original};
import { recordCall } from ${record};
export const ${name} = recordCall("${name}", original);`,
      };
    });
  },
};

/** Builds a program that records its decisions. */
export async function buildRecorder(outfile: string): Promise<void> {
  await build({
    entryPoints: ["src/main.ts"],
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node20",
    external: ["supports-color"],
    outfile,
    plugins: [recorder],
    logLevel: "warning",
  });
}
