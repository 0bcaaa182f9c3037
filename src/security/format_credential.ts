import type { Credential } from "./credential.ts";

/** Returns the header value of a credential. */
export function formatCredential(credential: Credential): string {
  const { sender, instance, counter, epoch, mac } = credential;
  return `${sender} ${instance} ${counter} ${epoch} ${mac}`;
}
