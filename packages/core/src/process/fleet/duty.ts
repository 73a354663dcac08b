/**
 * A duty that one instance at a time carries out, such as ordering role
 * changes. A claim is a record that was appended on the condition that no
 * other came since; its offset is the fencing number. A claim is made for each
 * round of work, so nothing has to be renewed while there is nothing to do.
 */
import { type LogEvent, logEvent } from "../../shared/index.ts";
import type { InstanceName, OwnTopic } from "../../types/index.ts";
import { fleetEvents } from "./events.ts";

/** A claim as it stands in its topic. */
export interface DutyClaim {
  readonly holder: InstanceName;
}

/** Permission to act, for a short time. */
export interface DutyTerm {
  /** Higher than that of every earlier claim. */
  readonly fence: number;
  /** Whether the term still lasts. Check before each act. */
  readonly isCurrent: () => boolean;
}

/** A duty as one instance sees it. */
export interface Duty {
  /** Claims the duty; undefined while another instance has it or the store is out of reach. */
  readonly claim: () => Promise<DutyTerm | undefined>;
}

/** Settings of a duty. */
export interface DutyOptions {
  readonly name: string;
  readonly instance: InstanceName;
  /** Time within which two holders must not take turns, in ms. */
  readonly leaseMs: number;
  readonly signal?: AbortSignal;
  readonly logEvent?: LogEvent;
}

/** Share of the lease for which a term lasts, counted from before its claim was sent. */
const termShare = 1 / 3;
/** Leases that another's claim blocks: its term and a whole lease after it, with room for late orders. */
const blockingLeases = 2;

/** Creates the duty. */
export function createDuty(
  topic: OwnTopic<DutyClaim>,
  options: DutyOptions,
): Duty {
  const log = options.logEvent ?? logEvent;
  let next = 0;
  let started = false;
  let newest:
    | { readonly holder: InstanceName; readonly readMs: number }
    | undefined;

  async function readClaims(): Promise<void> {
    const page = started
      ? await topic.read(next, { waitMs: 0, signal: options.signal })
      : await topic.fetchNewest(options.signal);
    started = true;
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
      const sentMs = performance.now();
      const sentDateMs = Date.now();
      const offset = await topic.append({
        key: options.name,
        value: { holder: options.instance },
      }, { ifEnd: next, signal: options.signal });
      if (offset === undefined) return refuse("another claim came first");
      next = offset + 1;
      newest = { holder: options.instance, readMs: performance.now() };
      log(fleetEvents.dutyClaimed, { duty: options.name, fence: next });
      const termMs = options.leaseMs * termShare;
      return {
        fence: next,
        // The steady clock stands still while the machine does; the date does not.
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
