/** Steps of `planned_changes.feature`. */
import { strict as assert } from "node:assert";
import { Then, When } from "@cucumber/cucumber";
import { MemberState, StreamName, waitFor } from "@trefoildoor/core";
import { waitUntil } from "@trefoildoor/testing";
import { request } from "undici";
import { Scope } from "../relay/index.ts";
import { Outage } from "../shared/index.ts";
import { type FleetWorld, stepTimeoutMs } from "./fleet_world.ts";

/** State of one scenario. */
interface PlannedWorld extends FleetWorld {
  exitCodes: (number | undefined)[];
  /** Time from which the list showed the endpoints as leaving. */
  leavingMs: number;
  /** The instance that was started last, and when. */
  started: { readonly address: string; readonly atMs: number };
}

const timeout = { timeout: stepTimeoutMs };
/** Time after the list shows an endpoint as leaving in which it may get new work, in ms. */
const leavingBoundMs = 3_000;
const silencePauseMs = 2_000;
const startedName = "entry-late";
const readyPollMs = 20;
const readyStatus = 200;

When(
  "each instance is stopped as planned and replaced, one after the other",
  timeout,
  async function (this: PlannedWorld): Promise<void> {
    const { standinFleet: fleet, standinLoad: load } = this;
    if (!fleet || !load) throw new Error("no fleet under load");
    this.exitCodes = [];
    for (const instance of [...fleet.listInstances()]) {
      await fleet.startInstance(`${instance.name}-next`);
      this.exitCodes.push(await fleet.retireInstance(instance));
      const before = load.countAnswers();
      await waitUntil("the load goes on", () => load.countAnswers() > before);
    }
  },
);

When(
  "the list shows an engine and a service as leaving for {int} s",
  timeout,
  async function (this: PlannedWorld, seconds: number): Promise<void> {
    const fleet = this.standinFleet;
    const names = [fleet?.engines[0]?.name, fleet?.services[0]?.name];
    // Both need work before, so that the check can fail.
    await waitUntil(
      "the engine and the service have had work",
      () =>
        (fleet?.engines[0]?.standin.listGenerations().length ?? 0) > 0 &&
        (fleet?.services[0]?.standin.listRuns().length ?? 0) > 0,
    );
    for (const name of names) {
      fleet?.members.setState(name ?? "", MemberState.Leaving);
    }
    this.leavingMs = performance.now();
    await waitFor(seconds * 1_000);
  },
);

async function startAnother(world: PlannedWorld): Promise<void> {
  const instance = await world.standinFleet?.startInstance(startedName);
  world.started = {
    address: instance?.callerAddress ?? "",
    atMs: performance.now(),
  };
}

When(
  "another instance starts while the log takes {int} ms for each append",
  timeout,
  async function (this: PlannedWorld, delayMs: number): Promise<void> {
    const faults = this.standinFleet?.log.faults;
    if (!faults) throw new Error("no fleet");
    faults.matches = (method) => method === "POST";
    faults.delayMs = delayMs;
    await startAnother(this);
  },
);

When(
  "another instance starts while the log refuses all appends",
  timeout,
  async function (this: PlannedWorld): Promise<void> {
    const faults = this.standinFleet?.log.faults;
    if (!faults) throw new Error("no fleet");
    faults.matches = (method) => method === "POST";
    faults.outage = Outage.Refuse;
    await startAnother(this);
  },
);

async function isReady(address: string): Promise<boolean> {
  const { body, statusCode } = await request(`http://${address}/readyz`);
  await body.dump();
  return statusCode === readyStatus;
}

/** Waits until the instance that was started last is ready; returns the time since its start, in ms. */
async function waitUntilReady(
  { started }: PlannedWorld,
  limitMs: number,
): Promise<number> {
  while (!await isReady(started.address)) {
    assert.ok(performance.now() - started.atMs < limitMs, "not ready in time");
    await waitFor(readyPollMs);
  }
  return performance.now() - started.atMs;
}

Then(
  "it is ready within {int} s, and the log has listed it before",
  timeout,
  async function (this: PlannedWorld, seconds: number): Promise<void> {
    await waitUntilReady(this, seconds * 1_000);
    const entries = this.standinFleet?.log.listEntries(StreamName.Control);
    assert.ok(entries?.some(({ payload }) => payload.includes(startedName)));
  },
);

Then(
  "it is ready within {int} s, but not within {int} s",
  timeout,
  async function (
    this: PlannedWorld,
    most: number,
    least: number,
  ): Promise<void> {
    const tookMs = await waitUntilReady(this, most * 1_000);
    assert.ok(tookMs >= least * 1_000, `ready after ${tookMs} ms`);
  },
);

When(
  "every open connection to a service falls silent twice",
  timeout,
  async function (this: PlannedWorld): Promise<void> {
    for (let time = 0; time < 2; time++) {
      for (const { relay } of this.standinFleet?.services ?? []) {
        relay.setFaults({ blackhole: true }, { scope: Scope.Open });
      }
      await waitFor(silencePauseMs);
    }
  },
);

Then(
  "every instance has exited with code 0",
  function (this: PlannedWorld): void {
    assert.deepEqual(this.exitCodes.filter((code) => code !== 0), []);
  },
);

Then(
  "neither got new work later than 3 s after the list showed it",
  function (this: PlannedWorld): void {
    const { standinFleet: fleet, leavingMs } = this;
    const boundMs = leavingMs + leavingBoundMs;
    const engine = fleet?.engines[0]?.standin.listGenerations() ?? [];
    const service = fleet?.services[0]?.standin.listRuns() ?? [];
    assert.ok(engine.some(({ startedMs }) => startedMs < leavingMs));
    assert.ok(service.some(({ atMs }) => atMs < leavingMs));
    const late = [
      ...engine.filter(({ startedMs }) => startedMs > boundMs),
      ...service.filter(({ atMs }) => atMs > boundMs),
    ];
    assert.deepEqual(late, []);
  },
);
