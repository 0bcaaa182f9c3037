const POLL_MS = 20;
const TIMEOUT_MS = 30_000;

/** Waits until a condition holds. Throws after half a minute. */
export async function until(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const end = performance.now() + TIMEOUT_MS;
  while (!await condition()) {
    if (performance.now() > end) throw new Error("Condition never held");
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}
