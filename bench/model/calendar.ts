/** Events of a model in discrete time, in steps of 1 ms. */
export type Calendar = { now: number; due: Map<number, (() => void)[]> };
