/** Instances with crash watches that exchange news, for the steps of `crashes.feature`. */
import { strict as assert } from "node:assert";
import type { PausedClock } from "@trefoildoor/testing";
import type { EventFields } from "../../shared/index.ts";
import type { ForwardCall, ListedEndpoint } from "../../types/index.ts";
import {
  type CrashWatch,
  createCrashWatch,
  EndSign,
  isTrialOwner,
  Unsettled,
} from "./index.ts";
import type { CrashReports, StoredCrashes } from "./crash_types.ts";

/** One instance of a scenario. */
export interface WatchedInstance {
  readonly name: string;
  readonly watch: CrashWatch;
  readonly events: { readonly number: number; readonly fields: EventFields }[];
  readonly reports: CrashReports[];
  /** Whether digests reach it and leave it. */
  heard: boolean;
}

/** State of one scenario. */
export interface CrashStepsWorld {
  crashClock?: PausedClock;
  instances: WatchedInstance[];
  calls: number;
  endpoints: number;
  /** What an instance had stored at an earlier time. */
  stored?: StoredCrashes;
}

const digestIntervalMs = 350;
/** Digests after which all news has been passed on. */
const digestsUntilTold = 4;

/** Creates an instance without evidence; it runs trials itself, or in turn with the instances that `listOthers` names. */
export function createInstance(
  name: string,
  listOthers: () => readonly string[] = () => [],
): WatchedInstance {
  const events: WatchedInstance["events"] = [];
  return {
    name,
    events,
    reports: [],
    heard: true,
    watch: createCrashWatch({
      isAccepting: ({ leaving }) => !leaving,
      mayTry: (trait, sinceCrashMs) =>
        isTrialOwner(trait, { sinceCrashMs, own: name, others: listOthers() }),
      logEvent: ({ number }, fields = {}) => events.push({ number, fields }),
    }),
  };
}

/** Builds a call with the given shared parts, separated by spaces, and a part of its own. */
export function buildPartCall(
  world: CrashStepsWorld,
  parts: string,
  { change = {} }: { readonly change?: Partial<ForwardCall> } = {},
): ForwardCall {
  world.calls += 1;
  const id = `call-${world.calls}`;
  const ids = [...parts.split(" ").filter(Boolean), id];
  return {
    id,
    method: "POST",
    target: "/path/",
    host: "host",
    headers: [],
    body: Buffer.from(id),
    work: {
      model: "m",
      promptTokens: 1,
      outputTokens: 1,
      parts: ids.map((part) => ({ id: part, tokens: 1 })),
    },
    receivedMs: performance.now(),
    ...change,
  };
}

/** Builds a new process of an endpoint. */
export function buildProcess(
  world: CrashStepsWorld,
  change: Partial<ListedEndpoint> = {},
): ListedEndpoint {
  world.endpoints += 1;
  return {
    name: `d${world.endpoints}`,
    service: "models",
    address: "10.0.0.1:1",
    failureDomain: "sapporo",
    slots: 64,
    leaving: false,
    startedAtMs: world.endpoints,
    ...change,
  };
}

/** Ends a process under the calls of each instance; the first instance finds out, the others hear of it. */
export async function crashUnder(
  world: CrashStepsWorld,
  lost: ReadonlyMap<WatchedInstance, readonly ForwardCall[]>,
): Promise<void> {
  const endpoint = buildProcess(world);
  await world.crashClock?.tickAsync(1);
  for (const [{ watch }, calls] of lost) {
    for (const call of calls) {
      watch.recordUnsettled(call, endpoint, { why: Unsettled.Broken });
    }
  }
  const [first] = lost.keys();
  first?.watch.recordEnd(endpoint, EndSign.ConnectionRefused);
  await exchangeNews(world);
}

/** Passes news on until all of it has been told. */
export async function exchangeNews(world: CrashStepsWorld): Promise<void> {
  for (let each = 0; each < digestsUntilTold; each++) {
    await world.crashClock?.tickAsync(digestIntervalMs);
    for (const sender of world.instances) {
      const reports = sender.watch.collectReports();
      if (!reports) continue;
      sender.reports.push(reports);
      for (const receiver of world.instances) {
        const reached = receiver !== sender && receiver.heard && sender.heard;
        if (reached) receiver.watch.applyReports(reports, 0);
      }
    }
  }
}

/** Lets time pass with digests of all instances. */
export async function passTime(
  world: CrashStepsWorld,
  ms: number,
): Promise<void> {
  const roundMs = digestIntervalMs * digestsUntilTold;
  for (let passedMs = 0; passedMs < ms; passedMs += roundMs) {
    await exchangeNews(world);
  }
}

/** Replaces the instances of a scenario by new ones, named by a comma-separated list. */
export function prepareInstances(
  world: CrashStepsWorld,
  names: string,
  { shareTrials = false }: { readonly shareTrials?: boolean } = {},
): void {
  world.calls = 0;
  world.endpoints = 0;
  const all = names.split(", ");
  world.instances = all.map((name) =>
    createInstance(
      name,
      () => shareTrials ? all.filter((other) => other !== name) : [],
    )
  );
}

/** Finds the instances named by a comma-separated list. */
export function pickInstances(
  world: CrashStepsWorld,
  names: string,
): readonly WatchedInstance[] {
  return names.split(", ").map((name) => {
    const found = world.instances.find((each) => each.name === name);
    assert.ok(found, name);
    return found;
  });
}
