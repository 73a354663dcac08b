/** Faults that a test can switch on and off on any stand-in. */
import { waitFor } from "@trefoildoor/core";

/** How a stand-in treats calls while it is out of service. */
export enum Outage {
  /** It works. */
  None = "none",
  /** It refuses each call and says that nothing was done. */
  Refuse = "refuse",
  /** It takes each call and never answers. */
  Hang = "hang",
}

/** Switches of one stand-in; each takes effect on the next call. */
export interface Faults {
  outage: Outage;
  /** Pause before each call is handled, in ms. */
  delayMs: number;
  /** Count of next answers that are lost after the call took effect. */
  loseAnswers: number;
  /** Limits the two faults above to calls whose method and path match. */
  matches: (method: string, path: string) => boolean;
}

/** Creates the switches, all off. */
export function createFaults(): Faults {
  return {
    outage: Outage.None,
    delayMs: 0,
    loseAnswers: 0,
    matches: () => true,
  };
}

/** Consumes one lost answer; true when this call's answer is to be lost. */
export function useLostAnswer(faults: Faults): boolean {
  if (faults.loseAnswers <= 0) return false;
  faults.loseAnswers--;
  return true;
}

/** A gate that a paused stand-in closes: calls wait until it opens again. */
export interface Gate {
  readonly isOpen: () => boolean;
  readonly wait: () => Promise<void>;
  readonly close: () => void;
  readonly open: () => void;
}

/** Creates an open gate. */
export function createGate(): Gate {
  let opened: Promise<void> | undefined;
  let release: (() => void) | undefined;
  return {
    isOpen: () => opened === undefined,
    wait: () => opened ?? Promise.resolve(),
    close: () => {
      opened ??= new Promise((resolve) => release = resolve);
    },
    open: () => {
      release?.();
      opened = undefined;
    },
  };
}

/** Waits out the delay that the switches ask for. */
export async function waitForFaults(faults: Faults): Promise<void> {
  if (faults.delayMs > 0) await waitFor(faults.delayMs);
}
