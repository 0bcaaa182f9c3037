import type { Issue } from "../core/issue.ts";

/** How the rules of each daemon compare with what was agreed. */
export type VerifyResult =
  | {
    kind: "compared";
    daemons: {
      address: string;
      /** Empty where the daemon has exactly what was agreed. */
      differences: { section: string; agreed: string; inEffect: string }[];
    }[];
  }
  | { kind: "rejected"; issues: Issue[] };
