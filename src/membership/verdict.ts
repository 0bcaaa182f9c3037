/**
 * What observers say about one version of an entry: 0 nothing, 1 suspected,
 * 2 failed. It is no write to the entry: a newer entry of the owner clears it.
 */
export type Verdict = 0 | 1 | 2;
