import type { Answer } from "./answer.ts";
import type { DaemonRequest } from "./daemon_request.ts";
import type { SubmitAnswer } from "./submit_answer.ts";
import type { VerifyAnswer } from "./verify_answer.ts";

/** What the command line needs of the rules module. */
export type RulesHandlers = {
  /** Signs and submits a configuration, as the builder prints it. */
  submit(request: {
    text: string;
    department: string;
    /** Ed25519 private key, PKCS#8 PEM. */
    privateKey: string;
    /** Id to find the change by after a lost response; null makes a new one. */
    changeId: string | null;
    ask: Ask;
  }): Promise<SubmitAnswer>;
  /** Adds a department's signature to a change that waits for several. */
  approve(request: {
    changeId: string;
    department: string;
    privateKey: string;
    ask: Ask;
  }): Promise<SubmitAnswer>;
  /** Compares what was agreed with what each daemon has in effect. */
  verify(request: {
    /** The configuration that the department agreed to. */
    text: string;
    department: string;
    /** Bodies of `GET /-/rules`, parsed from JSON only. */
    daemons: { address: string; rules: unknown }[];
  }): Promise<VerifyAnswer>;
};

/** Sends a request to the local listener of the daemon that the user named. */
type Ask = (request: Omit<DaemonRequest, "daemon">) => Promise<Answer>;
