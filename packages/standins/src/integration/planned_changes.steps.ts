/** Steps of `planned_changes.feature`. */
import { strict as assert } from "node:assert";
import { Then, When } from "@cucumber/cucumber";
import { MemberState, waitFor } from "@trefoildoor/core";
import { waitUntil } from "@trefoildoor/testing";
import { Scope } from "../relay/index.ts";
import { type FleetWorld, stepTimeoutMs } from "./fleet_world.ts";

/** State of one scenario. */
interface PlannedWorld extends FleetWorld {
  exitCodes: (number | undefined)[];
  /** Time from which the list showed the endpoints as leaving. */
  leavingMs: number;
}

const timeout = { timeout: stepTimeoutMs };
/** Time after the list shows an endpoint as leaving in which it may get new work, in ms. */
const leavingBoundMs = 3_000;
const silencePauseMs = 2_000;

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
    for (const name of names) {
      fleet?.members.setState(name ?? "", MemberState.Leaving);
    }
    this.leavingMs = performance.now();
    await waitFor(seconds * 1_000);
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
    // Both had work before, so that the check can fail.
    assert.ok(engine.some(({ startedMs }) => startedMs < leavingMs));
    assert.ok(service.some(({ atMs }) => atMs < leavingMs));
    const late = [
      ...engine.filter(({ startedMs }) => startedMs > boundMs),
      ...service.filter(({ atMs }) => atMs > boundMs),
    ];
    assert.deepEqual(late, []);
  },
);
