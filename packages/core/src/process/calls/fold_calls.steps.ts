/** Steps on the fold of the calls stream. */
import { strict as assert } from "node:assert";
import { Then } from "@cucumber/cucumber";
import fc from "fast-check";
import {
  CallResult,
  type LogRecord,
  type PositionedRecord,
  RecordKind,
} from "../../types/index.ts";
import { buildCallsCheckpoint, readCallsCheckpoint } from "./calls_schema.ts";
import { emptyCallsState } from "./calls_state.ts";
import { foldCalls } from "./fold_calls.ts";

const instance = fc.constantFrom("a", "b");
const key = fc.constantFrom("k1", "k2", "k3");
const recordArbitrary: fc.Arbitrary<LogRecord> = fc.oneof(
  fc.record({
    kind: fc.constant(RecordKind.CallIntent as const),
    caller: fc.constant("shop"),
    key,
    service: fc.constant("desk"),
    bodyDigest: fc.constant("0".repeat(64)),
    instance,
  }),
  fc.record({
    kind: fc.constant(RecordKind.CallSettled as const),
    caller: fc.constant("shop"),
    key,
    intent: fc.nat({ max: 20 }),
    result: fc.constantFrom(...Object.values(CallResult)),
    answer: fc.constant({ status: 201, headers: {}, body: "booked" }),
  }),
);
const streamArbitrary = fc.array(
  fc.record({ writer: instance, timeMs: fc.nat(), record: recordArbitrary }),
  { maxLength: 60 },
);

Then(
  "{int} random streams with seed {int} fold alike across checkpoints",
  function (runs: number, seed: number): void {
    fc.assert(
      fc.property(streamArbitrary, fc.nat({ max: 60 }), (stream, split) => {
        const entries = stream.map((entry, position): PositionedRecord => ({
          position,
          ...entry,
        }));
        const whole = entries.reduce(foldCalls, emptyCallsState);
        const half = entries.slice(0, split).reduce(foldCalls, emptyCallsState);
        const record = JSON.parse(JSON.stringify(buildCallsCheckpoint(half)));
        const restored = readCallsCheckpoint(record);
        assert(restored, "checkpoint is not readable");
        // Entries that the checkpoint covers are ignored.
        assert.deepEqual(entries.reduce(foldCalls, restored), whole);
      }),
      { seed, numRuns: runs },
    );
  },
);
