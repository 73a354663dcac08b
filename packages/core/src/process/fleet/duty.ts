/**
 * A duty that one instance at a time carries out, such as ordering role
 * changes: a lease that is kept in a topic of the store. A claim is a record
 * that is appended on condition that no other record was appended since the
 * last read; the offset after it is the fencing number. Each round of work
 * makes its own claim, so that no lease is renewed while there is no work. A
 * claim may carry what the work has to agree on, and may keep the number of the
 * holder's claim before it, for receivers that carry calls out late and compare
 * numbers.
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
  /** Fencing number, where it is kept from claim to claim of a holder. */
  readonly fence?: number;
  /** Address of the holder's process, where its number is kept: an instance of the same name elsewhere is another holder. */
  readonly address?: string;
  /** Era of the store in which the claim was appended, where its number is kept; 0 if absent. */
  readonly era?: number;
}

/** What a duty writes into each claim that keeps its number. */
export interface DutyStamp extends DutyClaim {
  readonly fence: number;
  readonly era: number;
}

/** Permission to carry out the duty for a limited time. */
export interface DutyTerm {
  /** Fencing number; higher than that of every earlier holder, and of every earlier claim unless it is kept. */
  readonly fence: number;
  /** Whether the term has not ended yet; to be checked before each action. */
  readonly isCurrent: () => boolean;
}

/** A term with the record of its claim. */
export interface RecordedTerm<Claim extends DutyClaim> extends DutyTerm {
  readonly claim: Claim;
}

/** Builds the record of a claim from its stamp and the newest record. */
export type BuildClaim<Claim extends DutyClaim> = (
  stamp: DutyStamp,
  newest: Claim | undefined,
) => Claim;

/** One instance's access to a duty. */
export interface Duty {
  /** Claims the duty; undefined while another instance's claim blocks it or the store is unreachable. Does not reject. */
  readonly claim: () => Promise<DutyTerm | undefined>;
}

/** A duty whose claims carry what its work has to agree on. */
export interface RecordedDuty<Claim extends DutyClaim> extends Duty {
  readonly claim: (
    build?: BuildClaim<Claim>,
  ) => Promise<RecordedTerm<Claim> | undefined>;
  /** Reads the newest claim without claiming, so that its time to block counts from now; false if the store is unreachable. Does not reject. */
  readonly observe: () => Promise<boolean>;
  /** From now on, claims do not keep this fencing number: its receiver has refused it. */
  readonly dropFence: (fence: number) => void;
}

/** Settings of a duty. */
export interface DutyOptions {
  /** Key of the claims in the topic, and name of the duty in log events. */
  readonly name: string;
  readonly instance: InstanceName;
  /** Shortest time between the claims of two different holders, in ms. */
  readonly leaseMs: number;
  /** Whether a holder's claims keep their fencing number until another instance has claimed. */
  readonly keepsFence?: boolean;
  /** Address of this process, for claims that keep their number. */
  readonly address?: string;
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
export function createDuty<Claim extends DutyClaim = DutyClaim>(
  topic: WritableTopic<Claim>,
  options: DutyOptions,
): RecordedDuty<Claim> {
  const log = options.logEvent ?? logEvent;
  let next = 0;
  let started = false;
  let era: number | undefined;
  /** Until then claims of a former era that were lost may still be in use. */
  let lostUntilMs = -Infinity;
  let newest:
    | { readonly claim: Claim; readonly readMs: number }
    | undefined;
  let droppedFence = -Infinity;

  async function fetchPage(): Promise<TopicPage<Claim>> {
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
    const last = page.records.at(-1)?.value;
    const isRestored = era === undefined
      ? options.keepsFence && pageEra > (last?.era ?? 0)
      : pageEra > era;
    if (isRestored) {
      lostUntilMs = performance.now() + blockingLeases * options.leaseMs;
    }
    era = pageEra;
    next = Math.max(next, page.next);
    if (last) newest = { claim: last, readMs: performance.now() };
  }

  function isOwn({ holder, address }: DutyClaim): boolean {
    return holder === options.instance && address === options.address;
  }

  function isBlocked(): boolean {
    if (!newest || isOwn(newest.claim)) return false;
    return performance.now() - newest.readMs <
      blockingLeases * options.leaseMs;
  }

  function refuse(reason: string): undefined {
    log(fleetEvents.dutyNotClaimed, {
      duty: options.name,
      reason,
      holder: newest?.claim.holder,
      next,
    });
    return undefined;
  }

  /** Fencing number of a claim that is appended at `next`. */
  function getNextFence(): number {
    if (!options.keepsFence || !newest || !isOwn(newest.claim)) return next + 1;
    const { fence, era: claimEra = 0 } = newest.claim;
    // Claims of a former era that were lost may have had higher numbers.
    const isKept = fence !== undefined && fence > droppedFence &&
      claimEra === era;
    return isKept ? fence : next + 1;
  }

  async function claim(
    build?: BuildClaim<Claim>,
  ): Promise<RecordedTerm<Claim> | undefined> {
    try {
      await readClaims();
      if (isBlocked()) return refuse("another instance has claimed it");
      if (performance.now() < lostUntilMs) {
        return refuse("a lost claim may still be in use");
      }
      const sentMs = performance.now();
      const sentDateMs = Date.now();
      const fence = getNextFence();
      const value = buildValue(fence, build);
      const offset = await runWithTimeout(
        (signal) =>
          topic.append({ key: options.name, value }, { ifEnd: next, signal }),
        { timeoutMs, signal: options.signal },
      );
      if (offset === undefined) return refuse("another claim came first");
      next = offset + 1;
      newest = { claim: value, readMs: performance.now() };
      log(fleetEvents.dutyClaimed, { duty: options.name, fence });
      const termMs = options.leaseMs * termShare;
      return {
        fence,
        claim: value,
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

  function buildValue(fence: number, build?: BuildClaim<Claim>): Claim {
    const { instance, address } = options;
    const stamp = { holder: instance, fence, address, era: era ?? 0 };
    if (build) return build(stamp, newest?.claim);
    const plain = options.keepsFence ? stamp : { holder: options.instance };
    return plain as Claim;
  }

  return {
    claim,
    async observe(): Promise<boolean> {
      try {
        await readClaims();
        return true;
      } catch {
        return false;
      }
    },
    dropFence(fence): void {
      droppedFence = Math.max(droppedFence, fence);
    },
  };
}
