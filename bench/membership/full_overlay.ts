import type { Overlay } from "./overlay.ts";

/**
 * Uniform choice from the full directory. Failed members stay in it here: in
 * the rounds that are measured, their suspicion has not been timed out.
 */
export function fullOverlay(size: number): Overlay {
  return {
    choose: (node, random) => {
      const other = Math.floor(random() * (size - 1));
      return other < node ? other : other + 1;
    },
    meet: () => 0,
    miss: () => {},
    age: () => {},
  };
}
