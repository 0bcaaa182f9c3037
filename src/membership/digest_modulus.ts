/** Digests are sums modulo 2^48, which a JavaScript number holds exactly. */
export const DIGEST_MODULUS = 2 ** 48;
