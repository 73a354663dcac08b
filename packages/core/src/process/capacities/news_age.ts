/** How old what instances know of each other is, and how much it tells. */

/** Delay of a digest after a change for each `instancesPerDelay` instances, in ms, and its bound. */
const digestDelayMs = 40;
const instancesPerDelay = 12;
const maxDigestDelayMs = 1_000;
/** Transit and processing of a digest, in ms. */
const transitMs = 40;
/** Age that the reports of others reach before the next ones come, in ms. */
export function getNewsLagMs(instances: number): number {
  const delayMs = digestDelayMs * Math.max(instances / instancesPerDelay, 1);
  return Math.min(delayMs, maxDigestDelayMs) + transitMs;
}

/** Instances up to which choices go by the last reports: these are younger than most calls. */
const maxInstancesInStep = 36;

/** Part by which reports of others tell how many calls are at an endpoint now, 0 to 1: calls that are shorter than the news are old have ended. */
export function estimateNewsWeight(
  instances: number,
  /** Usual time of a call, in ms. */
  usualMs: number,
): number {
  if (instances <= maxInstancesInStep) return 1;
  return usualMs / (usualMs + getNewsLagMs(instances) / 2);
}
