/** Waiting for a condition in tests with real processes. */

const pollIntervalMs = 20;
const defaultDeadlineMs = 60_000;

/**
 * Polls until the condition holds; throws with the description after a
 * deadline that only a hung system reaches (default 60 s).
 */
export async function waitUntil(
  description: string,
  condition: () => boolean | Promise<boolean>,
  options: { readonly deadlineMs?: number } = {},
): Promise<void> {
  const end = performance.now() + (options.deadlineMs ?? defaultDeadlineMs);
  while (performance.now() < end) {
    if (await condition()) return;
    await new Promise((resolve) => setTimeout(resolve, pollIntervalMs));
  }
  throw new Error(`Gave up waiting: ${description}`);
}
