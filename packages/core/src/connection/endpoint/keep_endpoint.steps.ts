/** Steps of `keep_endpoint.feature`. */
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import { waitFor } from "../../shared/index.ts";
import { Effect, RemoteError, RemoteFailure } from "../../types/effects.ts";
import { EngineRole, type LoadReport } from "../../types/endpoints.ts";
import { monitorEndpoint } from "./keep_endpoint.ts";
import type { EndpointProbe, ProbeResult } from "./probes.ts";

/** How the probed endpoint behaves. */
enum Behaviour {
  Answer = "answer",
  Silent = "silent",
  SilentOnOldConnections = "silent_on_old_connections",
  SilentOnIdleConnections = "silent_on_idle_connections",
  RefuseConnections = "refuse_connections",
}

/** State of one scenario. */
interface ObservedWorld {
  endpointClock?: PausedClock;
  behaviour: Behaviour;
  replaced: boolean;
  startCount: number;
  observations: string[];
  startMs: number;
  stopObservation: AbortController;
  matchSnapshot: (received: unknown) => void;
}

const probeTimeoutMs = 1_000;

function buildReport(world: ObservedWorld): LoadReport {
  return {
    sequence: 1,
    startId: `start ${world.startCount}`,
    ageMs: 0,
    role: EngineRole.Mixed,
    changing: false,
    running: 0,
    queued: 0,
    queuedPromptTokens: 0,
    kvBlocksUsed: 0,
    kvBlocksTotal: 1,
    prefillTokensPerSecond: 1,
    decodeTokensPerSecond: 1,
    cachedPrefixes: [],
  };
}

async function answerProbe(
  world: ObservedWorld,
  fresh: boolean,
): Promise<ProbeResult> {
  const old = !fresh && !world.replaced;
  const silent = world.behaviour === Behaviour.Silent ||
    world.behaviour === Behaviour.SilentOnOldConnections && old;
  if (silent) {
    await waitFor(probeTimeoutMs);
    throw buildError(RemoteFailure.Timeout);
  }
  if (world.behaviour === Behaviour.RefuseConnections) {
    throw buildError(RemoteFailure.Unreachable);
  }
  return { report: buildReport(world) };
}

function buildError(failure: RemoteFailure): RemoteError {
  return new RemoteError("no answer", { failure, effect: Effect.None });
}

Given("an endpoint under observation", function (this: ObservedWorld): void {
  this.endpointClock = pauseClock();
  this.behaviour = Behaviour.Answer;
  this.replaced = false;
  this.startCount = 1;
  this.observations = [];
  this.stopObservation = new AbortController();
  this.startMs = performance.now();
  const note = (text: string): void => {
    const atMs = performance.now() - this.startMs;
    this.observations.push(`${atMs} ms: ${text}`);
  };
  const probe: EndpointProbe = {
    ask: ({ fresh }) => answerProbe(this, fresh),
    pingIdle: () =>
      Promise.resolve(
        this.behaviour !== Behaviour.SilentOnIdleConnections || this.replaced,
      ),
    replaceConnections: () => {
      this.replaced = true;
      note("connections replaced");
    },
  };
  void monitorEndpoint("e1", {
    probe,
    observer: {
      onUnresponsive: (_, silent) => note(silent ? "silent" : "heard"),
      onCrash: (_, startId) => note(`crash of ${startId}`),
    },
    signal: this.stopObservation.signal,
    logEvent: (event) => note(`event ${event.number}`),
  });
});

When(
  /^the endpoint (answers|is silent on all connections|is silent on old connections|refuses connections) for (\d+) s$/,
  async function (
    this: ObservedWorld,
    behaviour: string,
    seconds: string,
  ): Promise<void> {
    const behaviours: Record<string, Behaviour> = {
      "answers": Behaviour.Answer,
      "is silent on all connections": Behaviour.Silent,
      "is silent on old connections": Behaviour.SilentOnOldConnections,
      "refuses connections": Behaviour.RefuseConnections,
    };
    this.behaviour = behaviours[behaviour] ?? Behaviour.Answer;
    await this.endpointClock?.tickAsync(Number(seconds) * 1_000);
  },
);

When(
  "its idle connections are silent for {int} s",
  async function (this: ObservedWorld, seconds: number): Promise<void> {
    this.behaviour = Behaviour.SilentOnIdleConnections;
    await this.endpointClock?.tickAsync(seconds * 1_000);
  },
);

When(
  "the endpoint starts anew and answers for {int} s",
  async function (this: ObservedWorld, seconds: number): Promise<void> {
    this.startCount++;
    await this.endpointClock?.tickAsync(seconds * 1_000);
  },
);

Then(
  "the endpoint's observations match the snapshot",
  function (this: ObservedWorld): void {
    this.matchSnapshot(this.observations);
  },
);

After(function (this: Partial<ObservedWorld>): void {
  this.stopObservation?.abort();
  this.endpointClock?.uninstall();
});
