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
