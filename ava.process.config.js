// Tests that start processes run one file after the other.
export default {
  extensions: { ts: "module" },
  nodeArguments: ["--import=tsx"],
  files: ["test/**/*_test.ts"],
  timeout: "2m",
  concurrency: 1,
  workerThreads: false,
};
