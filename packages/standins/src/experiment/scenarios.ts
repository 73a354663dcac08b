/** Scenarios of the bench: both users' fleets under loads of several shapes. */
import { Priority } from "@trefoildoor/core";
import {
  buildRoles,
  type FleetShape,
  type MixShape,
} from "./bench/fleet_shape.ts";
import { generateLoad, type Load, type Phase } from "./bench/load.ts";
import { createRandom, drawInteger } from "./bench/random.ts";

const engineFigures = {
  stepMs: 18,
  msPerSequence: 0.25,
  msPerPromptToken: 0.1,
  maxBatch: 64,
  mixedChunkTokens: 128,
  prefillChunkTokens: 4_096,
  kvBlocks: 200,
  cacheBlocks: 60,
  changeMs: 8_000,
  reportIntervalMs: 500,
  reportLagMs: 1_000,
};

/** The boiler servicing franchise: goodput counts most. */
export const calderas: FleetShape = {
  name: "calderas",
  failureDomains: ["santiago-a", "santiago-b", "santiago-c"],
  delayMs: 3,
  roles: buildRoles({ prefill: 2, mixed: 4, decode: 0 }),
  instances: 8,
  figures: engineFigures,
  roleChangeWeight: 5,
  kinds: [
    {
      caller: "summaries",
      share: 1,
      priority: Priority.Normal,
      deadlineMs: 30_000,
      promptTokens: [4_000, 12_000],
      outputTokens: [150, 250],
      maxTokens: 512,
      sharedBlocks: 1,
      sharedPrefixes: 20,
    },
    {
      caller: "reminders",
      share: 1,
      priority: Priority.Batch,
      deadlineMs: 60_000,
      promptTokens: [300, 600],
      outputTokens: [300, 500],
      maxTokens: 512,
      sharedBlocks: 0,
      sharedPrefixes: 1,
    },
    {
      caller: "replies",
      share: 2,
      priority: Priority.Interactive,
      deadlineMs: 10_000,
      promptTokens: [150, 350],
      outputTokens: [4, 12],
      maxTokens: 16,
      sharedBlocks: 0,
      sharedPrefixes: 1,
    },
  ],
  long: { requestsPerSecond: 8, weights: [70, 15, 15] },
  short: { requestsPerSecond: 23.5, weights: [5, 75, 20] },
};

/** The rental association: each role change counts. */
export const association: FleetShape = {
  name: "association",
  failureDomains: ["sapporo", "asahikawa", "hakodate"],
  delayMs: 6,
  roles: buildRoles({ prefill: 4, mixed: 4, decode: 0 }),
  instances: 8,
  figures: engineFigures,
  roleChangeWeight: 60,
  kinds: [
    {
      caller: "contracts",
      share: 1,
      priority: Priority.Normal,
      deadlineMs: 25_000,
      promptTokens: [8_000, 20_000],
      outputTokens: [120, 240],
      maxTokens: 512,
      sharedBlocks: 2,
      sharedPrefixes: 12,
    },
    {
      caller: "quotes",
      share: 1,
      priority: Priority.Interactive,
      deadlineMs: 15_000,
      promptTokens: [2_000, 5_000],
      outputTokens: [60, 140],
      maxTokens: 256,
      sharedBlocks: 1,
      sharedPrefixes: 12,
    },
    {
      caller: "drafts",
      share: 1,
      priority: Priority.Normal,
      deadlineMs: 25_000,
      promptTokens: [200, 500],
      outputTokens: [250, 450],
      maxTokens: 512,
      sharedBlocks: 0,
      sharedPrefixes: 1,
    },
  ],
  long: { requestsPerSecond: 6.8, weights: [60, 30, 10] },
  short: { requestsPerSecond: 28, weights: [2, 13, 85] },
};

/** Both fleets, or the one of the name. */
export function listFleets(name: string | undefined): readonly FleetShape[] {
  const fleets = [calderas, association];
  const found = fleets.filter((each) =>
    name === undefined || each.name === name
  );
  if (found.length > 0) return found;
  throw new Error(`Fleet "${name}" is not known`);
}

const shiftRangeMs = [90_000, 240_000] as const;
const shiftDurationMs = 900_000;
const steadyDurationMs = 300_000;

/** A load that swings between both mixes at random times. */
export function generateMixShift(shape: FleetShape, seed: number): Load {
  const random = createRandom(seed);
  const phases: Phase[] = [];
  let fromMs = 0;
  let long = random() < 0.5;
  while (fromMs < shiftDurationMs) {
    const lengthMs = drawInteger(random, shiftRangeMs);
    const toMs = Math.min(fromMs + lengthMs, shiftDurationMs);
    phases.push({ fromMs, toMs, ...(long ? shape.long : shape.short) });
    fromMs = toMs;
    long = !long;
  }
  return generateLoad(shape.kinds, phases, { seed });
}

/** A steady load between both mixes, at a multiple of what the fleet can about serve. */
export function generateSteady(
  shape: FleetShape,
  options: { readonly seed: number; readonly factor: number },
): Load {
  const mix = computeMiddle(shape);
  const phase = {
    fromMs: 0,
    toMs: steadyDurationMs,
    requestsPerSecond: mix.requestsPerSecond * options.factor,
    weights: mix.weights,
  };
  return generateLoad(shape.kinds, [phase], { seed: options.seed });
}

function computeMiddle(shape: FleetShape): MixShape {
  return {
    requestsPerSecond: 2 /
      (1 / shape.long.requestsPerSecond + 1 / shape.short.requestsPerSecond),
    weights: shape.long.weights.map((weight, index) =>
      (weight + (shape.short.weights[index] ?? 0)) / 2
    ),
  };
}
