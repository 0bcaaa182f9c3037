import type { SectionVersion } from "./section_version.ts";

/** How the rules of a daemon differ from what a department agreed to. */
export type RulesDifference =
  | { kind: "no-report" }
  | { kind: "missing"; agreed: SectionVersion }
  /** Another version, or the same version with other terms. */
  | {
    kind: "older" | "newer" | "altered";
    agreed: SectionVersion;
    actual: SectionVersion;
    /** Whether the department's own key signed what is in effect. */
    signed: boolean;
  }
  /** The agreed section, but without a signature by the department's own key. */
  | { kind: "unsigned"; agreed: SectionVersion }
  /** A section in effect that binds the department without its agreement. */
  | { kind: "not-agreed"; actual: SectionVersion; signed: boolean };
