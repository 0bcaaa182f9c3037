import type { TokenCache } from "./token_cache.ts";

/** Creates an empty cache of execution tokens. */
export function createTokenCache(): TokenCache {
  return { peers: new Map() };
}
