/** Daemons that are compared, as the program and arguments before `daemon`. */
export const versions: Record<string, string[]> = {
  nutmegmoor: ["dist/nutmegmoor.cjs"],
  naive: ["--import=tsx", "naive/main.ts"],
};
