/**
 * How long engines are still busy with the prompts that they were given. Answers
 * prompts that take less time than digests are old, placed by many instances:
 * what digests say of an engine's queue has mostly been computed by then, and
 * what was placed since is missing. Here each prompt is counted once, when it is
 * placed, and counted down on the clock. A prompt of this instance that is done
 * shows how far the engine has really got.
 */
import type { RunningClock } from "../../shared/index.ts";
import type { EndpointName } from "../../types/index.ts";

/** Prompt of this instance at an engine. */
export interface OpenBacklog {
  /** Records that the engine has computed the prompt, and so all that was ahead of it. */
  readonly finish: () => void;
  /** Takes the prompt back, as the engine does not compute it. */
  readonly cancel: () => void;
}

/** Prompt that an engine gets. */
export interface PlacedPrompt {
  /** Time that the engine takes to compute it, in ms. */
  readonly ms: number;
  /** Whether the engine computes prompts that come later before it. */
  readonly yields: boolean;
}

/** Dependencies of the backlogs. */
export interface BacklogsOptions {
  /** Clock of the time in which this instance could read what peers tell; the monotonic clock by default. */
  readonly clock?: RunningClock;
}

/** Backlogs of all engines that got prompts lately. */
export interface Backlogs {
  /** Counts a prompt of this instance. */
  readonly open: (engine: EndpointName, prompt: PlacedPrompt) => OpenBacklog;
  /** Counts prompts that a peer has given to engines, by their time to compute, in ms. */
  readonly applyPlacements: (
    placements: Readonly<Record<EndpointName, number>>,
  ) => void;
  /** Time for which the engine is busy with prompts, in ms. */
  readonly getMs: (engine: EndpointName) => number;
  /** Discards the backlog of an engine whose process has ended. */
  readonly forget: (engine: EndpointName) => void;
}

/** Longest time that one prompt counts, in ms: peers' figures are not trusted further. */
const maxPromptMs = 10_000;
/** Engines of which backlogs are kept. */
const maxEngines = 4_096;

interface Backlog {
  /** When the engine is expected to be idle, in ms of `performance.now()`. */
  idleAtMs: number;
  /** Sum of what was placed there, in ms. */
  placedMs: number;
}

/** Time after a gap in which messages were sent before its end, in ms. */
const outdatedMs = 100;

/** Creates backlogs of idle engines. */
export function createBacklogs({ clock }: BacklogsOptions = {}): Backlogs {
  const backlogs = new Map<EndpointName, Backlog>();
  /** Time for which this instance did not get on, in ms. */
  let gapMs = 0;
  let outdatedUntilMs = -Infinity;

  /** Whether messages that are read now have waited while this instance did not get on. */
  function isOutdated(): boolean {
    const nowMs = performance.now();
    const currentMs = clock ? nowMs - clock.getMs() : 0;
    if (currentMs > gapMs) outdatedUntilMs = nowMs + outdatedMs;
    gapMs = Math.max(gapMs, currentMs);
    return nowMs < outdatedUntilMs;
  }

  function add(engine: EndpointName, ms: number): Backlog {
    const nowMs = performance.now();
    const backlog = backlogs.get(engine) ?? { idleAtMs: nowMs, placedMs: 0 };
    const addedMs = fitMs(ms);
    backlog.idleAtMs = Math.max(backlog.idleAtMs, nowMs) + addedMs;
    backlog.placedMs += addedMs;
    backlogs.delete(engine);
    backlogs.set(engine, backlog);
    if (backlogs.size > maxEngines) {
      const [oldest] = backlogs.keys();
      if (oldest !== undefined) backlogs.delete(oldest);
    }
    return backlog;
  }

  return {
    open(engine, { ms, yields }): OpenBacklog {
      const backlog = add(engine, ms);
      const positionMs = backlog.placedMs;
      let isOpen = true;
      return {
        finish(): void {
          if (!isOpen) return;
          isOpen = false;
          // What came later has been computed before.
          if (yields) return;
          // One that is done early may have overtaken less urgent ones.
          const behindMs = backlog.placedMs - positionMs;
          const idleAtMs = performance.now() + behindMs;
          backlog.idleAtMs = Math.max(backlog.idleAtMs, idleAtMs);
        },
        cancel(): void {
          if (isOpen) backlog.idleAtMs -= fitMs(ms);
          isOpen = false;
        },
      };
    },
    applyPlacements(placements): void {
      if (isOutdated()) return;
      for (const [engine, ms] of Object.entries(placements)) {
        if (Number.isFinite(ms)) add(engine, ms);
      }
    },
    getMs(engine): number {
      const idleAtMs = backlogs.get(engine)?.idleAtMs ?? -Infinity;
      return Math.max(idleAtMs - performance.now(), 0);
    },
    forget: (engine) => void backlogs.delete(engine),
  };
}

function fitMs(ms: number): number {
  return Math.min(Math.max(ms, 0), maxPromptMs);
}
