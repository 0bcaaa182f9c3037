/** Kinds of faults that the soak injects into a running site. */
export type FaultKind =
  | "kill"
  | "pause"
  | "stop"
  | "reload"
  | "delayLinks"
  | "cutOneWay"
  | "silenceLinks"
  | "resetLinks"
  | "storeSilent"
  | "storeBusy"
  | "storeLosesAnswers"
  | "storeForgets"
  | "storeCut"
  | "serverLosesAnswers"
  | "serverCutsAnswers"
  | "serverLeaves"
  | "change";

/** A fault on one VM; start and duration are in ms. */
export type Fault = {
  kind: FaultKind;
  vm: number;
  at: number;
  forMs: number;
};
