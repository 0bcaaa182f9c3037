import type { TokenCache } from "./token_cache.ts";

/** Creates an empty stock of execution tokens. */
export function createTokenCache(): TokenCache {
  return { peers: new Map() };
}
