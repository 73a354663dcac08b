/** Continuous batching: sequences wait for KV blocks, are prefilled in chunks and decoded together. */
import {
  computePrefixDigests,
  digestText,
  FinishReason,
  type GenerateRequest,
  kvBlockTokens,
  splitTokens,
} from "@trefoildoor/core";
import {
  type EngineSettings,
  GenerationEnd,
  type RecordedGeneration,
} from "./engine_options.ts";
import { createPrefixCache, type PrefixCache } from "./prefix_cache.ts";

/** One generation in the batch. */
export interface Sequence {
  readonly request: GenerateRequest;
  readonly record: RecordedGeneration;
  readonly promptTokens: number;
  readonly blocks: number;
  /** Index of the first token that this attempt generates. */
  readonly firstIndex: number;
  readonly tokens: string[];
  readonly prefixDigests: readonly string[];
  /** Ends after its prefill when true. */
  readonly prefillOnly: boolean;
  prefillLeft: number;
  finish?: FinishReason;
  /** Called after each token and at the end. */
  readonly listeners: Set<() => void>;
}

/** What a sequence starts from. */
export interface SequenceStart {
  readonly request: GenerateRequest;
  readonly version: string;
  readonly prefillOnly?: boolean;
  /** The prompt's KV cache was imported. */
  readonly imported?: boolean;
}

/** The batch of one engine. */
export interface Batch {
  readonly add: (start: SequenceStart) => Sequence;
  readonly find: (attemptId: string) => Sequence | undefined;
  /** Ends a sequence early and frees its blocks. */
  readonly end: (sequence: Sequence, end: GenerationEnd) => void;
  readonly endAll: (end: GenerationEnd) => number;
  readonly forget: (attemptId: string) => void;
  /** Loses all that is in memory, as a crash does. */
  readonly clear: () => void;
  readonly holdBlocks: (count: number) => void;
  readonly countRunning: () => number;
  readonly countQueued: () => number;
  readonly countPromptTokens: () => number;
  readonly countBlocks: () => number;
  readonly cache: PrefixCache;
  readonly records: readonly RecordedGeneration[];
  readonly pause: () => void;
  readonly resume: () => void;
}

const prefillChunkTokens = 512;

const tokenDigestLength = 8;

/** Token of a prompt's output: a function of the prompt's digest and the index alone. */
export function buildToken(promptDigest: string, index: number): string {
  return `${promptDigest.slice(0, tokenDigestLength)}-${index} `;
}

/** The whole output that every engine generates for a prompt. */
export function buildOutput(prompt: string, maxTokens: number): string {
  const digest = digestText(prompt);
  const indexes = Array.from({ length: maxTokens }, (_, index) => index);
  return indexes.map((index) => buildToken(digest, index)).join("");
}

/** Counts the KV blocks that a request may come to need. */
export function countBlocksNeeded(request: GenerateRequest): number {
  const resumed = request.resumeTokens?.length ?? 0;
  const output = Math.max(0, request.maxTokens - resumed);
  const tokens = splitTokens(request.prompt).length + resumed + output;
  return Math.ceil(tokens / kvBlockTokens);
}

/** Creates an empty batch; `onPrefill` sees a sequence before its first chunk and may crash the engine. */
export function createBatch(
  settings: EngineSettings,
  options: {
    readonly random: () => number;
    readonly onPrefill: (sequence: Sequence) => void;
  },
): Batch {
  const sequences = new Map<string, Sequence>();
  const records: RecordedGeneration[] = [];
  const cache = createPrefixCache({
    gapShare: settings.cacheGapShare,
    random: options.random,
  });
  let queue: Sequence[] = [];
  let running: Sequence[] = [];
  let heldBlocks = 0;
  let clockMs = 0;
  let timer: NodeJS.Timeout | undefined;
  let paused = false;

  const countBlocks = (): number =>
    heldBlocks + running.reduce((sum, { blocks }) => sum + blocks, 0);

  const admitQueued = (): void => {
    while (running.length < settings.maxRunning) {
      const next = queue[0];
      if (!next || countBlocks() + next.blocks > settings.kvBlocks) return;
      queue.shift();
      running.push(next);
      cache.evict(settings.kvBlocks - countBlocks());
      const cached = cache.countCached(next.prefixDigests) * kvBlockTokens;
      // The last token is always computed, unless the whole cache was imported.
      if (next.prefillLeft > 0) {
        next.prefillLeft = Math.max(1, next.prefillLeft - cached);
      }
      options.onPrefill(next);
    }
  };
  const end = (sequence: Sequence, how: GenerationEnd): void => {
    if (sequence.record.end) return;
    sequence.record.end = how;
    sequence.record.endedMs = performance.now();
    queue = queue.filter((other) => other !== sequence);
    running = running.filter((other) => other !== sequence);
    for (const listener of sequence.listeners) listener();
  };
  const finishPrefill = (sequence: Sequence): void => {
    cache.add(sequence.prefixDigests, settings.kvBlocks - countBlocks());
    if (sequence.prefillOnly) end(sequence, GenerationEnd.Finished);
  };
  const decode = (sequence: Sequence): void => {
    const index = sequence.firstIndex + sequence.tokens.length;
    if (index < sequence.request.maxTokens) {
      sequence.tokens.push(buildToken(sequence.record.promptDigest, index));
      sequence.record.tokens++;
    }
    if (index + 1 < sequence.request.maxTokens) {
      for (const listener of sequence.listeners) listener();
      return;
    }
    sequence.finish = FinishReason.Length;
    end(sequence, GenerationEnd.Finished);
  };
  const planStep = (): BatchStep => {
    admitQueued();
    const prefill = running.find(({ prefillLeft }) => prefillLeft > 0);
    const chunk = Math.min(prefillChunkTokens, prefill?.prefillLeft ?? 0);
    const decoding = running.filter(({ prefillLeft }) => prefillLeft === 0);
    const decodeMs = decoding.length === 0 ? 0 : settings.decodeStepMs +
      settings.decodeStepMsPerSequence * (decoding.length - 1);
    const prefillMs = chunk / settings.prefillTokensPerSecond * 1_000;
    return { prefill, chunk, decoding, durationMs: decodeMs + prefillMs };
  };
  const applyStep = (step: BatchStep): void => {
    if (step.prefill && !step.prefill.record.end) {
      step.prefill.prefillLeft -= step.chunk;
      if (step.prefill.prefillLeft === 0) finishPrefill(step.prefill);
    }
    for (const sequence of step.decoding) {
      if (!sequence.record.end) decode(sequence);
    }
  };
  const advance = (step: BatchStep): void => {
    timer = undefined;
    clockMs += step.durationMs;
    applyStep(step);
    schedule();
  };
  const schedule = (): void => {
    if (paused || timer) return;
    let step = planStep();
    // Steps shorter than the timer's grain run together.
    while (
      running.length > 0 && clockMs + step.durationMs <= performance.now()
    ) {
      clockMs += step.durationMs;
      applyStep(step);
      step = planStep();
    }
    if (running.length === 0) return;
    const waitMs = Math.max(1, clockMs + step.durationMs - performance.now());
    timer = setTimeout(() => advance(step), waitMs);
  };
  const start = (): void => {
    if (!timer) clockMs = performance.now();
    schedule();
  };
  return {
    add: (given) => {
      const sequence = buildSequence(given);
      sequences.set(given.request.attemptId, sequence);
      records.push(sequence.record);
      queue.push(sequence);
      queue.sort((left, right) =>
        right.request.priority - left.request.priority
      );
      start();
      return sequence;
    },
    find: (attemptId) => sequences.get(attemptId),
    end,
    endAll: (how) => {
      const live = [...running, ...queue];
      for (const sequence of live) end(sequence, how);
      return live.length;
    },
    forget: (attemptId) => sequences.delete(attemptId),
    clear: () => {
      for (const live of [...running, ...queue]) {
        end(live, GenerationEnd.CutByCrash);
      }
      sequences.clear();
      cache.clear();
    },
    holdBlocks: (count) => {
      heldBlocks += count;
      if (!paused) start();
    },
    countRunning: () => running.length,
    countQueued: () => queue.length,
    countPromptTokens: () =>
      [...running, ...queue].reduce(
        (sum, { prefillLeft }) => sum + prefillLeft,
        0,
      ),
    countBlocks,
    cache,
    records,
    pause: () => {
      paused = true;
      clearTimeout(timer);
      timer = undefined;
    },
    resume: () => {
      paused = false;
      start();
    },
  };
}

/** Work of the batch between two points in time. */
interface BatchStep {
  readonly prefill: Sequence | undefined;
  readonly chunk: number;
  readonly decoding: readonly Sequence[];
  readonly durationMs: number;
}

function buildSequence(start: SequenceStart): Sequence {
  const { request } = start;
  const promptTokens = splitTokens(request.prompt).length;
  const firstIndex = request.resumeTokens?.length ?? 0;
  return {
    request,
    promptTokens,
    firstIndex,
    blocks: countBlocksNeeded(request),
    tokens: [],
    prefixDigests: computePrefixDigests(request),
    prefillOnly: start.prefillOnly ?? false,
    prefillLeft: start.imported ? 0 : promptTokens + firstIndex,
    listeners: new Set(),
    record: {
      attemptId: request.attemptId,
      promptDigest: digestText(request.prompt),
      model: request.model,
      version: start.version,
      startedMs: performance.now(),
      resumedFrom: firstIndex,
      tokens: 0,
    },
  };
}
