/** What a bundle's size costs each node that takes it into force. */
import {
  type Bundle,
  emptyControlState,
  foldControl,
  getPosition,
  recordGroupSchema,
  RecordKind,
  type SignedBundle,
  verifyBundle,
} from "@trefoildoor/core";
import { buildSizedBundle, signSized, sizedKeys } from "./fleet_sizes.ts";
import { measureHeap, measureProcessor } from "./measure.ts";
import { Quantity, type SlopePoint, type SlopeSeries } from "./slope.ts";

const callerCounts = [1_000, 4_000, 10_000];
const engineCounts = [100, 600, 2_400];

/** Measures bundles by callers and by engines. */
export async function measureBundles(): Promise<readonly SlopeSeries[]> {
  return [
    ...await measureSizes("caller", {
      sizes: callerCounts,
      build: (callers) => buildSizedBundle({ engines: 8, callers }),
    }),
    ...await measureSizes("engine", {
      sizes: engineCounts,
      build: (engines) => buildSizedBundle({ engines, callers: 10 }),
    }),
  ];
}

async function measureSizes(
  per: string,
  options: {
    readonly sizes: readonly number[];
    readonly build: (size: number) => Bundle;
  },
): Promise<readonly SlopeSeries[]> {
  const bytes: SlopePoint[] = [];
  const heap: SlopePoint[] = [];
  const processor: SlopePoint[] = [];
  for (const size of options.sizes) {
    const payload = encodeRecord(signSized(options.build(size)));
    bytes.push({ size, value: Buffer.byteLength(payload) });
    const state = takeIntoForce(payload);
    heap.push({ size, value: measureHeap(() => structuredClone(state)) });
    const value = await measureProcessor(() => takeIntoForce(payload));
    processor.push({ size, value });
  }
  const shared = { of: "published bundle", per };
  return [
    {
      name: `bundle-wire/${per}`,
      quantity: Quantity.Wire,
      ...shared,
      points: bytes,
    },
    {
      name: `bundle-heap/${per}`,
      quantity: Quantity.Heap,
      ...shared,
      points: heap,
    },
    {
      name: `bundle/${per}`,
      quantity: Quantity.Processor,
      ...shared,
      points: processor,
    },
  ];
}

function encodeRecord(signed: SignedBundle): string {
  return JSON.stringify({
    id: "11111111-2222-4333-8444-555555555555",
    writer: "operator",
    expires: 2_048,
    records: [{ kind: RecordKind.BundlePublished, signed }],
  });
}

/** Parses, checks, verifies and folds a published bundle, as a node does. */
function takeIntoForce(payload: string): unknown {
  const group = recordGroupSchema.parse(JSON.parse(payload));
  const [record] = group.records;
  if (!record) return undefined;
  const entry = {
    position: getPosition(1),
    writer: group.writer,
    timeMs: 0,
    record,
  };
  return foldControl(emptyControlState, entry, {
    verifySignature: (signed) => verifyBundle(signed, sizedKeys),
  });
}
