/** Decision functions whose calls are recorded, by path relative to `src/`. */
export const RECORDED_CALLS: Record<string, string> = {
  "admission/create_admission.ts": "createAdmission",
  "admission/offer.ts": "offer",
  "admission/finish.ts": "finish",
  "admission/tick.ts": "tick",
  "admission/withdraw.ts": "withdraw",
  "routing/create_routing.ts": "createRouting",
  "routing/choose.ts": "choose",
  "routing/begin.ts": "begin",
  "routing/end.ts": "end",
  "execution/create_ledger.ts": "createLedger",
  "execution/admit_token.ts": "admitToken",
  "execution/claim_token.ts": "claimToken",
  "execution/revoke_token.ts": "revokeToken",
  "execution/finish_execution.ts": "finishExecution",
  "execution/sweep_ledger.ts": "sweepLedger",
};
