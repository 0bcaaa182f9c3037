import type { CallOutcome } from "../calls/call_outcome.ts";
import type { CallReport } from "../calls/call_report.ts";
import type { CallRequest } from "../calls/call_request.ts";
import type { Candidate } from "./candidate.ts";

/** Sends requests to backend servers, through their daemons or this one. */
export type Forwarder = {
  /** Servers of a service that accept new requests. */
  candidates(service: string): Candidate[];
  /**
   * Returns a function that cancels the call; no outcome is reported after it.
   * `onSilence` reports that the link to the server has stopped responding.
   */
  send(
    candidate: Candidate,
    request: CallRequest,
    onOutcome: (outcome: CallOutcome, report: CallReport | null) => void,
    onSilence: () => void,
  ): () => void;
};
