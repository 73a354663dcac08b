/** Steps of `fold_control.feature`. */
import { strict as assert } from "node:assert";
import { Then, When } from "@cucumber/cucumber";
import * as fc from "fast-check";
import {
  checkEntry,
  encodeGroup,
  foldEntry,
  getOffset,
} from "../../process/log/index.ts";
import {
  type ControlState,
  type LogEntry,
  type LogRecord,
  maxGroupLagEntries,
  OrderClosing,
  type OrderEntry,
  RecordKind,
} from "../../types/index.ts";
import {
  createControlFolder,
  getPoolOfEngine,
  histories,
  verifySignature,
} from "./control_histories.test.ts";
import { parseControlState } from "./control_schema.ts";
import { emptyControlState, foldControl } from "./fold_control.ts";
import {
  buildStepRecord,
  type ControlStep,
  controlSteps,
  listSetupRecords,
} from "./random_control.test.ts";
import { getVersionInForce } from "./rules.ts";

/** State of one scenario. */
interface FoldControlWorld {
  state: ControlState;
  matchSnapshot: (received: unknown) => void;
}

/** One record with the states before and after it. */
interface Transition {
  readonly before: ControlState;
  readonly after: ControlState;
  readonly record: LogRecord;
  readonly writer: string;
}

const seed = 20_261_203;

When("the control history {string} is folded", function (
  this: FoldControlWorld,
  name: string,
): void {
  const folder = createControlFolder();
  histories[name]?.(folder);
  this.state = folder.getState();
});

Then("the folded control state matches the snapshot", function (
  this: FoldControlWorld,
): void {
  const { bundle, history, ...rest } = this.state;
  this.matchSnapshot({
    ...rest,
    bundle: bundle?.position,
    history: history.map(({ version, author, rejection }) =>
      `${version} by ${author}: ${rejection ?? "accepted"}`
    ),
  });
});

Then(
  "{int} random control streams fold alike from any split, checkpoint and repeat",
  function (runs: number): void {
    const cuts = fc.array(fc.nat(), { maxLength: 8 });
    const property = fc.property(controlSteps, cuts, (steps, places) => {
      const entries = buildEntries(steps, places);
      const whole = foldEntries(emptyControlState, entries);
      assert.equal(new Set(whole.groups).size, whole.groups.length);
      for (const place of places) {
        const cut = place % (entries.length + 1);
        const first = foldEntries(emptyControlState, entries.slice(0, cut));
        const data = JSON.parse(JSON.stringify(first));
        const stored = parseControlState(data, { verifySignature });
        assert(stored);
        // The second read overlaps the first.
        const from = Math.max(0, getOffset(stored.next) - place % 3);
        const resumed = foldEntries(stored, entries.slice(from));
        assert.deepEqual(resumed, whole);
      }
    });
    fc.assert(property, { seed, numRuns: runs });
  },
);

Then(
  "{int} random control histories keep the invariants",
  function (runs: number): void {
    let admitted = 0;
    const property = fc.property(controlSteps, (steps) => {
      for (const transition of listTransitions(steps)) {
        checkBundle(transition);
        checkLeases(transition);
        for (const engine of ["c1", "c2", "i1"]) {
          checkOrder(transition, engine);
        }
        checkPastEpoch(transition);
        const { before, after } = transition;
        if (after.orders !== before.orders) admitted++;
      }
    });
    fc.assert(property, { seed, numRuns: runs });
    assert(admitted > runs, `only ${admitted} changes of orders`);
  },
);

function listTransitions(steps: readonly ControlStep[]): readonly Transition[] {
  const folder = createControlFolder();
  for (const [writer, record] of listSetupRecords()) folder.add(writer, record);
  return steps.map((step) => {
    const before = folder.getState();
    const record = buildStepRecord(before, step);
    folder.add(step.writer, record);
    return { before, after: folder.getState(), record, writer: step.writer };
  });
}

function checkBundle({ before, after }: Transition): void {
  const increase = getVersionInForce(after) - getVersionInForce(before);
  assert(
    increase === 0 || increase === 1,
    "the version in force increases by at most one",
  );
  assert(after.history.length <= 64);
}

function checkLeases({ before, after, record }: Transition): void {
  for (const [pool, lease] of Object.entries(after.leases)) {
    const earlier = before.leases[pool];
    if (earlier?.epoch === lease.epoch) {
      assert.equal(lease.holder, earlier.holder);
      assert(!earlier.released || lease.released, "a release is final");
      continue;
    }
    assert(lease.epoch > (earlier?.epoch ?? 0), "epochs increase");
    assert(record.kind === RecordKind.LeaseClaimed);
    assert.equal(record.replaces, earlier?.renewed ?? 0);
    assert.equal(after.instances[lease.holder]?.instance, lease.holder);
  }
}

function checkOrder(transition: Transition, engine: string): void {
  const earlier = transition.before.orders[engine];
  const later = transition.after.orders[engine];
  if (earlier === later || !later) return;
  if (earlier && !earlier.closed && later.order === earlier.order) {
    return checkClosing(transition, earlier);
  }
  const { before, record } = transition;
  assert(record.kind === RecordKind.OrderOpened);
  const lease = before.leases[getPoolOfEngine(engine)];
  assert.equal(record.epoch, lease?.epoch);
  assert.equal(lease?.released, false);
  assert(before.instances[later.sender], "the sender is registered");
  assert(later.order > (earlier?.order ?? 0), "fencing numbers increase");
  if (!later.fenceOnly) assert(before.drains[engine]?.epoch === record.epoch);
  if (!earlier || earlier.closed) return;
  const raises = later.fenceOnly && getPoolOfEngine(engine) === "checked";
  assert(raises, "only a higher fencing number replaces an open order");
}

function checkClosing(
  { before, record, writer }: Transition,
  order: OrderEntry,
): void {
  assert(record.kind === RecordKind.OrderClosed);
  if (order.fenceOnly) assert(record.reached, "the engine has the number");
  if (record.closing === OrderClosing.Result) {
    return assert.equal(writer, order.sender);
  }
  assert.equal(record.epoch, before.leases[order.pool]?.epoch);
  if (record.closing === OrderClosing.SenderGone) {
    assert(!before.instances[order.sender], "the sender is gone");
  }
  if (record.closing === OrderClosing.Fenced) {
    assert.equal(order.pool, "checked");
  }
}

/** A record under a past or released epoch changes nothing but `next`. */
function checkPastEpoch({ before, after, record }: Transition): void {
  if (!("epoch" in record) || record.kind === RecordKind.OrderClosed) return;
  const lease = before.leases[record.pool];
  if (lease?.epoch === record.epoch && !lease.released) return;
  assert.deepEqual(after, { ...before, next: after.next });
}

/** Builds the entries of a stream, some of them repeated or malformed. */
function buildEntries(
  steps: readonly ControlStep[],
  places: readonly number[],
): readonly LogEntry[] {
  const records: (readonly [string, LogRecord])[] = [
    ...listSetupRecords(),
    ...listTransitions(steps).map(({ writer, record }) =>
      [writer, record] as const
    ),
  ];
  const payloads = records.map(([writer, record], index) =>
    encodeGroup({
      id: `00000000-0000-4000-8000-${String(index).padStart(12, "0")}`,
      writer,
      expires: maxGroupLagEntries,
      records: [record, record],
    })
  );
  for (const place of places) {
    const payload = payloads[place % payloads.length] ?? "";
    payloads.splice((place * 7) % payloads.length, 0, payload, "{");
  }
  return payloads.map((payload, offset) => ({ offset, timeMs: 0, payload }));
}

function foldEntries(
  state: ControlState,
  entries: readonly LogEntry[],
): ControlState {
  return entries.reduce(
    (current, entry) =>
      foldEntry(current, checkEntry(current, entry), {
        fold: (folded, record) =>
          foldControl(folded, record, { verifySignature }),
      }),
    state,
  );
}
