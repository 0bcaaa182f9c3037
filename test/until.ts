const POLL_MS = 25;
const BOUND_MS = 60_000;

/**
 * Polls until a condition holds and returns what it returned. The bound only
 * ends a run that would never finish; no verdict depends on it.
 */
export async function until<Value>(
  what: string,
  condition: () => Value | Promise<Value>,
): Promise<NonNullable<Value>> {
  const deadline = performance.now() + BOUND_MS;
  let seen: unknown;
  while (performance.now() < deadline) {
    try {
      const value = await condition();
      if (value) return value;
      seen = value;
    } catch (error) {
      seen = error;
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  throw new Error(`Never came true: ${what}; last seen: ${seen}`);
}
