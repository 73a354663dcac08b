/**
 * Trials: calls that run although one of their traits is refused, to show which
 * of several traits in flight at the same crashes is the cause. A trial may
 * crash an endpoint, so one instance at a time runs them, and waits until the
 * end of one is known.
 */
import type { LogEvent } from "../../shared/index.ts";
import type { ForwardCall } from "../../types/index.ts";
import { findByRendezvous } from "../../request/routing/index.ts";
import { setBounded } from "./bounded_map.ts";
import type { Trait, TraitVerdict } from "./crash_types.ts";
import { crashEvents } from "./events.ts";
import { formatSome } from "./log_verdicts.ts";

/** Whether this instance runs the trials of a verdict; `trait` is the first of its tied traits, `sinceCrashMs` the time since their last crash. */
export type MayTry = (trait: Trait, sinceCrashMs: number) => boolean;

/** Trials of one instance. */
export interface Trials {
  readonly has: (call: ForwardCall) => boolean;
  /** Lets a call with these traits run as a trial; false if it would not show which of the tied traits is the cause, if another instance runs trials, or too soon after the last one. */
  readonly tryCall: (
    call: ForwardCall,
    verdict: TraitVerdict,
    options: { readonly traits: readonly Trait[] },
  ) => boolean;
  /** Records that a call is being sent; if it is a trial, the next one waits for its end. */
  readonly recordSend: (call: ForwardCall) => void;
}

/** Pause after a trial that is not sent, in ms: it may find all endpoints down and show nothing. */
const trialIntervalMs = 1_000;
/** Pause after a trial that is sent, in ms: the end of its endpoint is known within three of the endpoint's heartbeats. */
const trialResultMs = 4_000;
/** Time for which one instance runs the trials of a verdict before another one does, in ms: it may get no such calls. */
const ownerMs = 5_000;

/** Whether `own` is the instance that runs the trials of a verdict at the moment, of all live ones. */
export function isTrialOwner(
  trait: Trait,
  { sinceCrashMs, own, others }: {
    readonly sinceCrashMs: number;
    readonly own: string;
    readonly others: readonly string[];
  },
): boolean {
  const turn = Math.floor(sinceCrashMs / ownerMs);
  const owner = findByRendezvous(`${turn}\n${trait}`, [own, ...others]);
  return owner === own;
}

/** Creates the trials of an instance, initially none. */
export function createTrials(
  { mayTry = () => true, logEvent }: {
    readonly mayTry?: MayTry;
    readonly logEvent: LogEvent;
  },
): Trials {
  const verdicts = new WeakMap<ForwardCall, TraitVerdict>();
  /** When the next trial of a trait may begin. */
  const nextMs = new Map<Trait, number>();

  function pauseTrials({ tied }: TraitVerdict, forMs: number): void {
    const value = performance.now() + forMs;
    for (const key of tied) setBounded(nextMs, { key, value });
  }

  return {
    has: (call) => verdicts.has(call),
    tryCall(call, verdict, { traits }): boolean {
      const { trait, tied, lastCrashMs } = verdict;
      if ([...tied].every((each) => traits.includes(each))) return false;
      const nowMs = performance.now();
      if (nowMs < (nextMs.get(trait) ?? -Infinity)) return false;
      const sinceCrashMs = nowMs - lastCrashMs;
      const [first = trait] = [...tied].toSorted();
      if (!mayTry(first, sinceCrashMs)) return false;
      pauseTrials(verdict, trialIntervalMs);
      verdicts.set(call, verdict);
      logEvent(crashEvents.trialBegun, {
        call: call.id,
        trait,
        tied: formatSome([...tied]),
        lastCrashAgeMs: Math.round(sinceCrashMs),
      });
      return true;
    },
    recordSend(call): void {
      const verdict = verdicts.get(call);
      if (verdict) pauseTrials(verdict, trialResultMs);
    },
  };
}
