import type { Issue } from "../core/issue.ts";

/** Comparison of the rules of each daemon with the agreed rules. */
export type VerifyResult =
  | {
    kind: "compared";
    daemons: {
      address: string;
      /** Empty if the rules of the daemon equal the agreed rules. */
      differences: { section: string; agreed: string; inEffect: string }[];
    }[];
  }
  | { kind: "rejected"; issues: Issue[] };
