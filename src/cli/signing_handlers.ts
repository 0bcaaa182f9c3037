import { approveChange } from "./approve_change.ts";
import type { RulesHandlers } from "./rules_handlers.ts";
import { submitTerms } from "./submit_terms.ts";
import { verifyAgreed } from "./verify_agreed.ts";

/** Handlers that sign in this process, so daemons receive only signed sections. */
export const signingHandlers: RulesHandlers = {
  submit: submitTerms,
  approve: approveChange,
  verify: verifyAgreed,
};
