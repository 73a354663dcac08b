/**
 * Confirms that what is known of a topic is recent enough to act on. Whoever
 * acts on it asks before the decision and again when its effect leaves the
 * process, so that the time between a change and the last act that ignores it
 * is bounded by the permitted age alone, whatever delayed the news or the
 * process.
 */
import {
  getInstantAgeMs,
  type Instant,
  type LogEvent,
  logEvent,
  takeInstant,
  waitAtMost,
} from "../../shared/index.ts";
import { fleetEvents } from "./events.ts";
import type { FollowedTopic } from "./follow_topic.ts";

/** On what basis the known state is used. */
export enum TopicBasis {
  /** It is recent enough. */
  Current = "current",
  /** It was read for this use. */
  Refreshed = "refreshed",
  /** It is too old and cannot be read in time: the last known state is used. */
  Unconfirmed = "unconfirmed",
}

/** Permission to act on the known state. */
export interface TopicConfirmation {
  /** Whether the known state is recent enough now. */
  readonly isCurrent: () => boolean;
  readonly getAgeMs: () => number;
  /** Makes the state recent enough if that takes at most `maxWaitMs`; resolves to the basis on which it may be used. */
  readonly confirm: (maxWaitMs: number) => Promise<TopicBasis>;
}

/** Topic and bound of a confirmation. */
export interface TopicConfirmationOptions {
  /** Name of the topic in log events. */
  readonly name: string;
  readonly topic: Pick<FollowedTopic, "getAgeMs" | "renew">;
  /** Age up to which the state is recent enough, in ms. */
  readonly maxAgeMs: number;
  readonly logEvent?: LogEvent;
}

/** Creates a confirmation of the topic's state. */
export function createTopicConfirmation(
  { name, topic, maxAgeMs, ...options }: TopicConfirmationOptions,
): TopicConfirmation {
  const log = options.logEvent ?? logEvent;
  /** When the state began to be used unconfirmed; undefined while it is not. */
  let unconfirmedSince: Instant | undefined;
  let uses = 0;

  function isCurrent(): boolean {
    if (topic.getAgeMs() > maxAgeMs) return false;
    if (unconfirmedSince) {
      log(fleetEvents.topicConfirmed, {
        topic: name,
        uses,
        forMs: Math.round(getInstantAgeMs(unconfirmedSince)),
      });
      unconfirmedSince = undefined;
    }
    return true;
  }

  function useUnconfirmed(waitedMs: number): TopicBasis {
    if (!unconfirmedSince) {
      unconfirmedSince = takeInstant();
      uses = 0;
      const ageMs = topic.getAgeMs();
      log(fleetEvents.topicUnconfirmed, {
        topic: name,
        ageMs: ageMs === Infinity ? undefined : Math.round(ageMs),
        maxAgeMs,
        waitedMs: Math.round(waitedMs),
      });
    }
    uses += 1;
    return TopicBasis.Unconfirmed;
  }

  return {
    isCurrent,
    getAgeMs: topic.getAgeMs,
    async confirm(maxWaitMs): Promise<TopicBasis> {
      if (isCurrent()) return TopicBasis.Current;
      const startMs = performance.now();
      await waitAtMost(topic.renew(maxAgeMs), Math.max(maxWaitMs, 0));
      return isCurrent()
        ? TopicBasis.Refreshed
        : useUnconfirmed(performance.now() - startMs);
    },
  };
}
