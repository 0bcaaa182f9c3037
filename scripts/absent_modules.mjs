// Optional packages that debug and msgpackr ask for; a single executable warns
// on standard error of each module that it can't load.
export const absentPackage = {
  name: "absent-package",
  setup(bundle) {
    const namespace = "absent";
    bundle.onResolve(
      { filter: /^(supports-color|msgpackr-extract)$/ },
      ({ path }) => ({ path, namespace }),
    );
    bundle.onLoad(
      { filter: /.*/, namespace },
      () => ({ contents: `throw new Error("absent");` }),
    );
  },
};

// The log writer of the histograms loads the number formats of all languages,
// 35 ms of each start; nothing here writes such logs.
export const absentLogWriter = {
  name: "absent-log-writer",
  setup(bundle) {
    bundle.onLoad(
      { filter: /hdr-histogram-js.dist.HistogramLogWriter\.js$/ },
      () => ({ contents: "module.exports = {};" }),
    );
  },
};
