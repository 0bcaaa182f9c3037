import type { ObjectStore } from "../store/object_store.ts";
import type { Section } from "./section.ts";

/** A change that an operator submits, and what its submission needs. */
export type Submission = {
  objects: ObjectStore;
  /** The signed section, with the version after the one in effect. */
  section: Section;
  /**
   * Chosen once per change, and the same when the change is submitted again.
   */
  changeId: string;
  /** Public keys of all departments, in base64. */
  departmentKeys: Readonly<Record<string, string>>;
  /** Waits before another attempt; the caller chooses the delay. */
  waitBeforeRetry?: (attempt: number) => Promise<void>;
};
