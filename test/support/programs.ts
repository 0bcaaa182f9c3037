/** The two versions that a proof compares, as `startFleet` takes them. */
export const Programs = {
  product: ["dist/nutmegmoor.cjs"],
  naive: ["--import=tsx", "naive/main.ts"],
};
