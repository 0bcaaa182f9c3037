/**
 * The verdict of observers on one version of an entry: 0 none, 1 suspected, 2
 * failed. It does not change the entry, and a newer version by the owner clears
 * it.
 */
export type Verdict = 0 | 1 | 2;
