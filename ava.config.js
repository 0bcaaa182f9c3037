export default {
  extensions: { ts: "module" },
  nodeArguments: ["--import=tsx"],
  files: [
    "src/**/*_test.ts",
    "platform/**/*_test.ts",
    "standin/**/*_test.ts",
    "bench/**/*_test.ts",
  ],
  timeout: "2m",
  workerThreads: false,
};
