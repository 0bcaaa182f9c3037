import type { DaemonResponse } from "./daemon_response.ts";
import type { DaemonRequest } from "./daemon_request.ts";
import type { SubmitResult } from "./submit_result.ts";
import type { VerifyResult } from "./verify_result.ts";

/** Operations of the rules module that the command line uses. */
export type RulesHandlers = {
  /** Signs and submits a configuration printed by the builder. */
  submit(request: {
    text: string;
    department: string;
    /** Ed25519 private key, PKCS#8 PEM. It never leaves this process. */
    privateKey: string;
    /** Id that identifies the change after a lost response; null generates one. */
    changeId: string | null;
    /** Version of the section; null means the one after the version in effect. */
    version: number | null;
    send: Send;
  }): Promise<SubmitResult>;
  /** Adds a department's signature to a pending change. */
  approve(request: {
    changeId: string;
    department: string;
    privateKey: string;
    /** Digest that the section must have; null skips the check. */
    digest: string | null;
    /** Called with the content to sign, before it is signed. */
    show(text: string): void;
    send: Send;
  }): Promise<SubmitResult>;
  /** Compares the agreed rules with those in effect on each daemon. */
  verify(request: {
    /** Configurations that the department agreed to; a null version is looked up. */
    agreed: { text: string; version: number | null }[];
    department: string;
    /** The department's own Ed25519 public key in base64. */
    publicKey: string;
    /** Bodies of `GET /-/rules`, parsed as JSON but not validated. */
    daemons: { address: string; rules: unknown }[];
  }): Promise<VerifyResult>;
};

/** Sends a request to the local listener of the daemon that the user named. */
type Send = (request: Omit<DaemonRequest, "daemon">) => Promise<DaemonResponse>;
