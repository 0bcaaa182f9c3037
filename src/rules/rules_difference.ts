import type { SectionVersion } from "./section_version.ts";

/** How a daemon differs from what a department agreed to. */
export type RulesDifference =
  | { kind: "no-report" }
  | { kind: "missing"; agreed: SectionVersion }
  /** Another version, or the same version with other terms. */
  | {
    kind: "older" | "newer" | "altered";
    agreed: SectionVersion;
    actual: SectionVersion;
  }
  /** A section binds the department that it did not agree to. */
  | { kind: "not-agreed"; actual: SectionVersion };
