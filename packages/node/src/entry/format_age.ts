/** Ages as digests state them. */
import type { FollowedTopic } from "@trefoildoor/core";

/** Age that digests report for a list that was never read, in ms. */
const neverReadAgeMs = 1e9;

/** Age of a topic's known state for a digest, in ms; JSON has no infinite numbers. */
export function formatAge({ getAgeMs }: FollowedTopic): number {
  return Math.min(Math.round(getAgeMs()), neverReadAgeMs);
}
