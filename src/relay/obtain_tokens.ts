import { withTimeout } from "../core/with_timeout.ts";
import { issueToken } from "../execution/issue_token.ts";
import type { Relay } from "./relay.ts";
import { tokenPool } from "./token_pool.ts";

const TIMEOUT_MS = 2_000;

/**
 * Requests new execution tokens from a daemon; none if it did not issue any.
 */
export async function obtainTokens(
  relay: Relay,
  { address, count }: { address: string; count: number },
): Promise<string[]> {
  if (address === relay.address) {
    const now = relay.clock();
    return Array.from({ length: count }, () => issueToken(relay.ledger, now));
  }
  try {
    return await withTimeout(TIMEOUT_MS, async (signal) => {
      const { statusCode, body } = await tokenPool(relay, address).request({
        method: "POST",
        path: `/-/tokens?count=${count}`,
        signal,
      });
      const text = await body.text();
      return statusCode === 200 ? text.split(" ") : [];
    });
  } catch {
    return [];
  }
}
