import type { KeyObject } from "node:crypto";
import type { Change } from "./change.ts";
import type { ChangeRecord } from "./change_record.ts";
import type { IdentifiedSection } from "./identified_section.ts";
import type { ServiceRule } from "./service_rule.ts";

/** Rules in effect at one daemon, and the recent changes that led to them. */
export type Rules = {
  /** Public keys by department. */
  readonly keys: ReadonlyMap<string, KeyObject>;
  /** The newest change in effect. */
  record: Readonly<ChangeRecord>;
  /** Sections by name. */
  sections: Map<string, IdentifiedSection>;
  /** Rules by service; a service belongs to one department. */
  services: Map<string, { department: string; rule: ServiceRule }>;
  /** The newest changes without a gap, oldest first. */
  recentChanges: { change: Change; bytes: number }[];
  /** Approximate size of the recent changes, in bytes. */
  recentBytes: number;
  /** When the newest change took effect here, in ms. */
  changedAt: number;
};
