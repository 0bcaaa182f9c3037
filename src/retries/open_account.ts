import type { Account } from "./account.ts";

/** Opens an account with the retries that came with a request. */
export function openAccount(held: number): Account {
  return { held, open: true };
}
