import type { DaemonResponse } from "./daemon_response.ts";
import type { DaemonRequest } from "./daemon_request.ts";
import type { SubmitResult } from "./submit_result.ts";
import type { VerifyResult } from "./verify_result.ts";

/** What the command line needs of the rules module. */
export type RulesHandlers = {
  /** Signs and submits a configuration, as the builder prints it. */
  submit(request: {
    text: string;
    department: string;
    /** Ed25519 private key, PKCS#8 PEM. It stays in this process. */
    privateKey: string;
    /** Id to find the change by after a lost response; null makes a new one. */
    changeId: string | null;
    /** Version of the section; null takes the one after that in effect. */
    version: number | null;
    ask: Ask;
  }): Promise<SubmitResult>;
  /** Adds a department's signature to a change that waits for several. */
  approve(request: {
    changeId: string;
    department: string;
    privateKey: string;
    /** Digest that the section must have; null accepts what is shown. */
    digest: string | null;
    /** Called with what is signed, before it is signed. */
    show(text: string): void;
    ask: Ask;
  }): Promise<SubmitResult>;
  /** Compares what was agreed with what each daemon has in effect. */
  verify(request: {
    /** Configurations that the department agreed to; null finds the version. */
    agreed: { text: string; version: number | null }[];
    department: string;
    /** The department's own Ed25519 public key in base64. */
    publicKey: string;
    /** Bodies of `GET /-/rules`, parsed from JSON only. */
    daemons: { address: string; rules: unknown }[];
  }): Promise<VerifyResult>;
};

/** Sends a request to the local listener of the daemon that the user named. */
type Ask = (request: Omit<DaemonRequest, "daemon">) => Promise<DaemonResponse>;
