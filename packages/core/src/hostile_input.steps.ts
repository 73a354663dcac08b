/** Steps of `hostile_input.feature`. */
import assert from "node:assert/strict";
import { Then } from "@cucumber/cucumber";
import { createMutants, getFuzzOptions } from "@trefoildoor/testing";
import fc from "fast-check";
import {
  buildControlCheckpoint,
  type BurnSummary,
  CallResult,
  checkBundle,
  checkEntry,
  computeBurn,
  type ControlState,
  createExampleBundle,
  createSigningKey,
  emptyCallsState,
  emptyControlState,
  encodeGroup,
  EngineRole,
  ExampleFleet,
  foldCalls,
  foldControl,
  foldEntry,
  formatFinding,
  getPosition,
  type LogRecord,
  logRecordSchema,
  maxGroupLagEntries,
  OrderClosing,
  parseControlState,
  readCallsCheckpoint,
  type RecordGroup,
  RecordKind,
  signBundle,
  type SignedBundle,
  signedBundleSchema,
  verifyBundle,
} from "./index.ts";

const key = createSigningKey();
const keys = new Map([["ops", key.publicKey]]);
const bundle = createExampleBundle(ExampleFleet.Association);
const signed = signBundle(bundle, {
  keyName: "ops",
  privateKey: key.privateKey,
});
const checks = { verifySignature: (): boolean => true };
const pool = "drafting";
const engine = "engine-1";
const epoch = getPosition(2);

/** One record of each kind that the folds handle; the order makes each one valid. */
const records: readonly LogRecord[] = [
  { kind: RecordKind.BundlePublished, signed },
  {
    kind: RecordKind.InstanceStarted,
    instance: "entry-1",
    failureDomain: "sapporo",
    peerAddress: "192.0.2.100:7100",
  },
  { kind: RecordKind.LeaseClaimed, pool, holder: "entry-1", replaces: 0 },
  { kind: RecordKind.LeaseRenewed, pool, epoch },
  { kind: RecordKind.DrainOpened, pool, epoch, engine },
  {
    kind: RecordKind.DrainConfirmed,
    engine,
    drain: getPosition(4),
    instance: "entry-1",
  },
  {
    kind: RecordKind.OrderOpened,
    pool,
    epoch,
    engine,
    target: { role: EngineRole.Mixed, models: [] },
    version: 1,
    fenceOnly: false,
  },
  {
    kind: RecordKind.OrderClosed,
    pool,
    epoch,
    engine,
    order: getPosition(6),
    closing: OrderClosing.Result,
    reached: true,
    detail: "",
  },
  { kind: RecordKind.RolloutHalted, pool, epoch, version: 1, reason: "slow" },
  { kind: RecordKind.RolloutResumed, pool, version: 1, author: "aiko" },
  {
    kind: RecordKind.CallIntent,
    caller: "otaru",
    key: "order-1",
    service: "booking-desk",
    bodyDigest: "a".repeat(64),
    instance: "entry-1",
  },
  {
    kind: RecordKind.CallSettled,
    caller: "otaru",
    key: "order-1",
    intent: getPosition(10),
    result: CallResult.Done,
    answer: { status: 201, headers: {}, body: "{}" },
  },
  { kind: RecordKind.LeaseReleased, pool, epoch },
  { kind: RecordKind.InstanceStopped, instance: "entry-1" },
];

Then("no bundle with random faults crashes the check", function (): void {
  fc.assert(
    fc.property(createMutants(bundle), (mutant) => {
      checkFindings(JSON.stringify(mutant) ?? "");
    }),
    getFuzzOptions(),
  );
});

Then("no random text crashes the check of a bundle", function (): void {
  const pieces = fc.constantFrom(
    ..."{}[]&*!|>#:?-,'\"%@` \n\t".split(""),
    "&a ",
    "*a ",
    "<<: ",
    "---\n",
    "version: ",
    "\u0000",
    "\ud800",
  );
  const text = fc.array(fc.oneof(pieces, fc.string())).map((all) =>
    all.join("")
  );
  fc.assert(fc.property(text, checkFindings), getFuzzOptions());
});

Then(
  "no entry with random faults stops a fold, and its state stays plain data",
  function (): void {
    const payloads = fc.array(
      fc.oneof(
        createMutants(buildGroup(records)).map((group) =>
          JSON.stringify(group) ?? ""
        ),
        fc.nat({ max: records.length - 1 }).map((index) =>
          encodeGroup(buildGroup(records.slice(index, index + 1)))
        ),
        fc.string(),
      ),
      { minLength: 1, maxLength: 6 },
    );
    fc.assert(
      fc.property(payloads, (all) => {
        const state = foldPayloads(all);
        assert.deepEqual(JSON.parse(JSON.stringify(state)), state);
        assert.deepEqual(foldPayloads(all), state);
        assert.equal(state.next, getPosition(all.length));
      }),
      getFuzzOptions(),
    );
  },
);

Then(
  'records with names such as "__proto__" fold like others',
  function (): void {
    const names = fc.constantFrom("__proto__", "constructor", "toString", "");
    const named = fc.tuple(fc.nat({ max: records.length - 1 }), names).map(
      ([index, name]) => replaceNames(records[index], name),
    );
    const lists = fc.array(named, { minLength: 1, maxLength: 12 });
    fc.assert(
      fc.property(lists, (list) => {
        const valid = list.flatMap((record) =>
          logRecordSchema.safeParse(record).data ?? []
        );
        if (valid.length === 0) return;
        foldPayloads(valid.map((record) => encodeGroup(buildGroup([record]))));
        assert.equal(({} as Record<string, unknown>)["polluted"], undefined);
      }),
      getFuzzOptions(),
    );
  },
);

Then(
  "no checkpoint with random faults crashes its reader",
  function (): void {
    const state = foldPayloads(
      records.slice(0, 7).map((record) => encodeGroup(buildGroup([record]))),
    );
    const checkpoint = JSON.parse(
      JSON.stringify(buildControlCheckpoint(state)),
    ) as { readonly state: unknown };
    fc.assert(
      fc.property(createMutants(checkpoint.state), (mutant) => {
        const valid = parseControlState(mutant, checks);
        // An accepted state must be valid enough for further folds.
        if (valid) foldControl(valid, addPosition(records[4], valid), checks);
        const record = { kind: RecordKind.CallsCheckpoint, upTo: 0 } as const;
        readCallsCheckpoint({ ...record, state: mutant });
      }),
      getFuzzOptions(),
    );
  },
);

Then("no changed bundle, signature or key verifies", function (): void {
  const { key: keyName, signature } = signed;
  // Most mutations hit the large bundle, so the two other fields are also mutated separately.
  const mutants = fc.oneof(
    createMutants(signed),
    createMutants({ keyName, signature }).map((fields) => {
      const { keyName: key, ...rest } = Object(fields);
      return { ...signed, key, ...rest };
    }),
  );
  fc.assert(
    fc.property(mutants, (mutant) => {
      const parsed = signedBundleSchema.safeParse(mutant).data;
      if (!parsed) return;
      const isSame = JSON.stringify(parsed) === JSON.stringify(signed);
      assert.equal(
        verifyBundle(parsed, keys),
        isSame && hasSameSignature(parsed),
      );
      verifyBundle(signed, new Map([["ops", JSON.stringify(mutant)]]));
    }),
    getFuzzOptions(),
  );
});

Then("no summary with random faults crashes the report", function (): void {
  const summary: BurnSummary = {
    kind: RecordKind.BurnSummary,
    instance: "entry-1",
    fromMs: 0,
    toMs: 30_000,
    counters: { "counters/contract-reader/useful": 3, "a/b/caller.c": 1 },
  };
  fc.assert(
    fc.property(createMutants(summary), (mutant) => {
      const parsed = logRecordSchema.safeParse(mutant).data;
      if (parsed?.kind !== RecordKind.BurnSummary) return;
      const window = { fromMs: 0, toMs: 3_600_000 };
      const { objectives } = bundle;
      const report = computeBurn([summary, parsed], { objectives, window });
      assert.doesNotThrow(() => JSON.stringify(report));
    }),
    getFuzzOptions(),
  );
});

function checkFindings(text: string): void {
  checkBundle(text, "bundle.yaml").ifLeft((findings) => {
    assert.ok(findings.length > 0 && findings.length <= 100);
    for (const finding of findings) {
      assert.match(formatFinding(finding), /^bundle\.yaml/);
    }
  });
}

function buildGroup(group: readonly LogRecord[]): RecordGroup {
  return {
    id: "11111111-2222-4333-8444-555555555555",
    writer: "entry-1",
    expires: maxGroupLagEntries,
    records: [...group],
  };
}

function foldPayloads(payloads: readonly string[]): ControlState {
  let control = emptyControlState;
  let calls = emptyCallsState;
  for (const [offset, payload] of payloads.entries()) {
    // Each entry gets a unique id; otherwise all but the first are ignored as repeats.
    const id = `11111111-2222-4333-8444-${String(offset).padStart(12, "0")}`;
    const uniquePayload = payload.replace(/[0-9a-f-]{24}[0-9]{12}/, id);
    const entry = { offset, timeMs: offset, payload: uniquePayload };
    control = foldEntry(control, checkEntry(control, entry), {
      fold: (state, record) => foldControl(state, record, checks),
    });
    calls = foldEntry(calls, checkEntry(calls, entry), { fold: foldCalls });
  }
  return control;
}

function addPosition(
  record: LogRecord | undefined,
  state: ControlState,
): Parameters<typeof foldControl>[1] {
  assert.ok(record);
  return { position: state.next, writer: "entry-1", timeMs: 0, record };
}

/** Replaces the example names in a record's JSON, keys and values alike, by `name`. */
function replaceNames(record: LogRecord | undefined, name: string): unknown {
  const text = JSON.stringify(record).replace(
    /"(drafting|engine-1|entry-1|otaru|order-1)"/g,
    JSON.stringify(name),
  );
  return JSON.parse(text);
}

/** Different base64 texts can decode to the same bytes, so only the original text passes. */
function hasSameSignature(other: SignedBundle): boolean {
  return other.signature === signed.signature;
}
