/**
 * A duty that one instance at a time carries out, such as ordering role
 * changes: a lease that is kept in a topic of the store. A claim is a record
 * that is appended on condition that no other record was appended since the
 * last read; the offset after it is the fencing number. Each round of work
 * makes its own claim, so that no lease is renewed while there is no work.
 */
import { type LogEvent, logEvent, runWithTimeout } from "../../shared/index.ts";
import {
  type InstanceName,
  RemoteError,
  RemoteFailure,
  type TopicPage,
  type WritableTopic,
} from "../../types/index.ts";
import { fleetEvents } from "./events.ts";

/** Value of a claim's record in the topic. */
export interface DutyClaim {
  readonly holder: InstanceName;
}

/** Permission to carry out the duty for a limited time. */
export interface DutyTerm {
  /** Fencing number; higher than that of every earlier claim. */
  readonly fence: number;
  /** Whether the term has not ended yet; to be checked before each action. */
  readonly isCurrent: () => boolean;
}

/** One instance's access to a duty. */
export interface Duty {
  /** Claims the duty; undefined while another instance's claim blocks it or the store is unreachable. Does not reject. */
  readonly claim: () => Promise<DutyTerm | undefined>;
}

/** Settings of a duty. */
export interface DutyOptions {
  /** Key of the claims in the topic, and name of the duty in log events. */
  readonly name: string;
  readonly instance: InstanceName;
  /** Shortest time between the claims of two different holders, in ms. */
  readonly leaseMs: number;
  readonly signal?: AbortSignal;
  readonly logEvent?: LogEvent;
}

/** Length of a term as a share of the lease, counted from the time before its claim is sent. */
const termShare = 1 / 3;
/** Timeout of each call to the store, in ms. */
const timeoutMs = 1_500;
/** Leases for which a claim blocks other instances, from when they read it: its term and a whole lease after it, which leaves time for late orders. */
const blockingLeases = 2;

/** Creates an instance's access to the duty; the topic must hold the claims of this duty only. */
export function createDuty(
  topic: WritableTopic<DutyClaim>,
  options: DutyOptions,
): Duty {
  const log = options.logEvent ?? logEvent;
  let next = 0;
  let started = false;
  let era: number | undefined;
  /** Until then claims of a former era that were lost may still be in use. */
  let lostUntilMs = -Infinity;
  let newest:
    | { readonly holder: InstanceName; readonly readMs: number }
    | undefined;

  async function fetchPage(): Promise<TopicPage<DutyClaim>> {
    try {
      return await runWithTimeout(
        (signal) =>
          started
            ? topic.read(next, { waitMs: 0, signal })
            : topic.fetchNewest(signal),
        { timeoutMs, signal: options.signal },
      );
    } catch (error) {
      const expired = error instanceof RemoteError &&
        error.failure === RemoteFailure.Expired;
      if (expired) started = false;
      throw error;
    }
  }

  async function readClaims(): Promise<void> {
    const page = await fetchPage();
    started = true;
    const pageEra = page.era ?? 0;
    if (era !== undefined && pageEra > era) {
      lostUntilMs = performance.now() + blockingLeases * options.leaseMs;
    }
    era = pageEra;
    next = Math.max(next, page.next);
    const last = page.records.at(-1)?.value;
    if (last) newest = { holder: last.holder, readMs: performance.now() };
  }

  function isBlocked(): boolean {
    if (!newest || newest.holder === options.instance) return false;
    return performance.now() - newest.readMs <
      blockingLeases * options.leaseMs;
  }

  function refuse(reason: string): undefined {
    log(fleetEvents.dutyNotClaimed, {
      duty: options.name,
      reason,
      holder: newest?.holder,
      next,
    });
    return undefined;
  }

  async function claim(): Promise<DutyTerm | undefined> {
    try {
      await readClaims();
      if (isBlocked()) return refuse("another instance has claimed it");
      if (performance.now() < lostUntilMs) {
        return refuse("a lost claim may still be in use");
      }
      const sentMs = performance.now();
      const sentDateMs = Date.now();
      const value = { holder: options.instance };
      const offset = await runWithTimeout(
        (signal) =>
          topic.append({ key: options.name, value }, { ifEnd: next, signal }),
        { timeoutMs, signal: options.signal },
      );
      if (offset === undefined) return refuse("another claim came first");
      next = offset + 1;
      newest = { holder: options.instance, readMs: performance.now() };
      log(fleetEvents.dutyClaimed, { duty: options.name, fence: next });
      const termMs = options.leaseMs * termShare;
      return {
        fence: next,
        // The monotonic clock stops while the machine is suspended; the date
        // does not.
        isCurrent: () =>
          performance.now() - sentMs < termMs &&
          Math.abs(Date.now() - sentDateMs) < termMs,
      };
    } catch (error) {
      return refuse(String(error));
    }
  }

  return { claim };
}
