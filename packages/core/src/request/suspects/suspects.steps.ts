/** Steps of `suspects.feature`: lost engines per request, clearing, limits and conflicting trials. */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import {
  createSuspects,
  type SuspectEvidence,
  type Suspects,
  SuspectVerdict,
} from "./index.ts";

/** State of one scenario. */
interface SuspectWorld {
  suspects: Suspects;
  earlierEvidence: SuspectEvidence;
}

const propertyRun = { seed: 5_022, numRuns: 300 };
const poison = "poison";
const neighbours = ["a", "b", "c", "d"];
const engineNames = ["engine-0", "engine-1", "engine-2", "engine-3"];

/** Instances that share engines, which crash when the poison digest runs on them. */
interface Fleet {
  readonly instances: readonly Suspects[];
  /** Number of crashes per engine. */
  readonly crashes: Map<string, number>;
  /** Number of engine crashes. */
  lost: number;
}

type Action =
  | { readonly kind: "run"; readonly instance: number; readonly engine: number }
  | { readonly kind: "exchange"; readonly from: number; readonly to: number };

const instanceCount = 3;
const instanceIndices = fc.integer({ min: 0, max: instanceCount - 1 });
const actionArbitrary: fc.Arbitrary<Action> = fc.oneof(
  fc.record({
    kind: fc.constant("run" as const),
    instance: instanceIndices,
    engine: fc.integer({ min: 0, max: engineNames.length - 1 }),
  }),
  fc.record({
    kind: fc.constant("exchange" as const),
    from: instanceIndices,
    to: instanceIndices,
  }),
);

function createFleet(): Fleet {
  const names = Array.from({ length: instanceCount }, (_, each) => `i${each}`);
  return {
    instances: names.map((instance) => createSuspects({ instance })),
    crashes: new Map(),
    lost: 0,
  };
}

Then(
  "any order of runs, resends and exchanges loses at most 2 engines to one digest and refuses no neighbour for good",
  function (): void {
    const actions = fc.array(actionArbitrary, { maxLength: 60 });
    fc.assert(fc.property(actions, checkLostEngines), propertyRun);
  },
);

function checkLostEngines(actions: readonly Action[]): void {
  const fleet = createFleet();
  for (const action of actions) {
    if (action.kind === "exchange") sendEvidence(fleet, action);
    else runPoison(fleet, action);
  }
  assert.ok(fleet.lost <= 2, `${fleet.lost} engines lost`);
  for (const instance of fleet.instances) {
    for (const neighbour of neighbours) {
      assert.notEqual(instance.getVerdict(neighbour), SuspectVerdict.Refused);
    }
  }
}

function sendEvidence(
  fleet: Fleet,
  action: { readonly from: number; readonly to: number },
): void {
  const evidence = fleet.instances[action.from]?.getEvidence();
  if (evidence) fleet.instances[action.to]?.mergeEvidence(evidence);
}

/**
 * Runs the poison digest together with the neighbours that are not suspects,
 * in a trial if it is a suspect itself. The evidence of the crash reaches all
 * instances before the next run.
 */
function runPoison(
  fleet: Fleet,
  action: { readonly instance: number; readonly engine: number },
): void {
  const instance = fleet.instances[action.instance];
  const engine = engineNames[action.engine];
  if (!instance || engine === undefined) return;
  const verdict = instance.getVerdict(poison);
  if (verdict === SuspectVerdict.Refused) return;
  const alone = verdict === SuspectVerdict.Isolated;
  if (alone && !instance.openTrial(poison, engine)) return;
  const starts = fleet.crashes.get(engine) ?? 0;
  const clear = neighbours.filter((each) =>
    instance.getVerdict(each) === SuspectVerdict.Clear
  );
  fleet.lost += 1;
  fleet.crashes.set(engine, starts + 1);
  instance.recordCrash(engine, [poison, ...clear], { startId: `s${starts}` });
  for (const other of fleet.instances) {
    other.mergeEvidence(instance.getEvidence());
  }
}

Given(
  "an instance that saw an engine crash with 3 requests in flight",
  function (this: SuspectWorld): void {
    this.suspects = createSuspects({ instance: "i0" });
    this.suspects.recordCrash("engine-0", ["a", "b", "c"], { startId: "s1" });
    this.earlierEvidence = this.suspects.getEvidence();
    assert.equal(this.suspects.getVerdict("b"), SuspectVerdict.Isolated);
  },
);

When(
  "each of them is run again and completes",
  function (this: SuspectWorld): void {
    for (const digest of ["a", "b", "c"]) {
      assert.ok(this.suspects.openTrial(digest, "engine-1"));
      assert.ok(this.suspects.checkTrial(digest));
      this.suspects.recordSuccess(digest);
      this.suspects.closeTrial(digest);
    }
  },
);

Then(
  "all verdicts are clear, also on an instance that hears the old evidence late",
  function (this: SuspectWorld): void {
    const other = createSuspects({ instance: "i1" });
    other.mergeEvidence(this.suspects.getEvidence());
    other.mergeEvidence(this.earlierEvidence);
    for (const digest of ["a", "b", "c"]) {
      assert.equal(this.suspects.getVerdict(digest), SuspectVerdict.Clear);
      assert.equal(other.getVerdict(digest), SuspectVerdict.Clear);
    }
  },
);

When(
  "{int} digests crash engines one after the other",
  function (this: SuspectWorld, count: number): void {
    this.suspects = createSuspects({ instance: "i0" });
    for (let each = 0; each < count; each++) {
      this.suspects.recordCrash("engine-0", [`d${each}`], {
        startId: `s${each}`,
      });
    }
    const last = `d${count - 1}`;
    this.suspects.recordCrash("engine-1", [last], { startId: "s" });
  },
);

Then(
  "the evidence holds at most {int} digests and still names the newest refused one",
  function (this: SuspectWorld, bound: number): void {
    assert.ok(this.suspects.getEvidence().digests.length <= bound);
    assert.deepEqual(this.suspects.listRefused(), ["d4999"]);
  },
);

Then(
  "of two instances that open trials on one engine at most one keeps it once both have heard",
  function (): void {
    const names = fc.uniqueArray(fc.string({ minLength: 1, maxLength: 5 }), {
      minLength: 2,
      maxLength: 2,
    });
    fc.assert(
      fc.property(names, ([first = "", second = ""]) => {
        const left = createSuspects({ instance: first });
        const right = createSuspects({ instance: second });
        left.openTrial("a", "engine-0");
        right.openTrial("b", "engine-0");
        left.mergeEvidence(right.getEvidence());
        right.mergeEvidence(left.getEvidence());
        assert.notEqual(left.checkTrial("a"), right.checkTrial("b"));
      }),
      propertyRun,
    );
  },
);
