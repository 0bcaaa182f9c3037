import type { RulesHandlers } from "./rules_handlers.ts";

const UNAVAILABLE = {
  kind: "unavailable",
  message: "This build has no rules module",
} as const;

/** Stands in until the rules module is connected; nothing takes effect. */
export const absentRules: RulesHandlers = {
  submit: () => Promise.resolve(UNAVAILABLE),
  approve: () => Promise.resolve(UNAVAILABLE),
  verify: () => Promise.resolve(UNAVAILABLE),
};
