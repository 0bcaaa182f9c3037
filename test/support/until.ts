const POLL_MS = 20;
const TIMEOUT_MS = 30_000;

/** Polls until a condition holds; throws after 30 s. */
export async function until(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const end = performance.now() + TIMEOUT_MS;
  while (!await condition()) {
    if (performance.now() > end) throw new Error("Condition not met");
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}
