const POLL_MS = 25;
const TIMEOUT_MS = 60_000;

/**
 * Polls until a condition returns a truthy value and returns that value. The
 * time-out only ends runs that hang; no test result depends on its length.
 */
export async function until<Value>(
  description: string,
  condition: () => Value | Promise<Value>,
): Promise<NonNullable<Value>> {
  const deadline = performance.now() + TIMEOUT_MS;
  let last: unknown;
  while (performance.now() < deadline) {
    try {
      const value = await condition();
      if (value) return value;
      last = value;
    } catch (error) {
      last = error;
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  throw new Error(`Never came true: ${description}; last seen: ${last}`);
}
