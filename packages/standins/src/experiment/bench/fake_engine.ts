/**
 * A small fake of a model engine: continuous batching in steps, prefill in
 * chunks, KV blocks with preemption, a prefix cache, lagging load reports and
 * absence during a role change.
 */
import {
  EngineRole,
  type FailureDomain,
  kvBlockTokens,
  type LoadReport,
  Priority,
} from "@trefoildoor/core";
import { createPrefixCache } from "./prefix_cache.ts";

/** Physical figures of an engine. */
export interface EngineFigures {
  /** Time of a step with nothing in it: reading the weights. */
  readonly stepMs: number;
  readonly msPerSequence: number;
  readonly msPerPromptToken: number;
  /** Most sequences that generate at once. */
  readonly maxBatch: number;
  /** Most prompt tokens of a step that also generates. */
  readonly mixedChunkTokens: number;
  /** Most prompt tokens of a step that generates nothing. */
  readonly prefillChunkTokens: number;
  readonly kvBlocks: number;
  readonly cacheBlocks: number;
  /** Time that a role change takes the engine away, after its drain. */
  readonly changeMs: number;
  readonly reportIntervalMs: number;
  readonly reportLagMs: number;
}

/** A job as the engine sees it. */
export interface EngineJob {
  readonly promptTokens: number;
  /** Tokens that the answer will have; the engine ends there. */
  readonly outputTokens: number;
  readonly prefixes: readonly string[];
  readonly priority: Priority;
  /** Ends when the prompt is computed. */
  readonly prefillOnly: boolean;
  /** Starts from imported KV cache. */
  readonly imported: boolean;
  readonly onToken: () => void;
  readonly onEnd: () => void;
}

/** The fake engine. */
export interface FakeEngine {
  readonly name: string;
  readonly failureDomain: FailureDomain;
  /** Takes a job; false while the engine is away or in a role that excludes it. */
  readonly start: (job: EngineJob) => boolean;
  readonly getRole: () => EngineRole;
  readonly isChanging: () => boolean;
  readonly countJobs: () => number;
  /** Leaves for the change's time, then is in the role. */
  readonly setRole: (role: EngineRole) => void;
  /** Tokens computed since the start, prompt and output. */
  readonly getWork: () => EngineWork;
  readonly stop: () => void;
}

/** Work done by an engine. */
export interface EngineWork {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Prompt tokens computed again after a preemption. */
  readonly repeatedTokens: number;
}

/** Options of a fake engine. */
export interface FakeEngineOptions {
  readonly name: string;
  readonly failureDomain: FailureDomain;
  readonly role: EngineRole;
  readonly figures: EngineFigures;
  readonly onReport: (report: LoadReport) => void;
}

interface Sequence {
  readonly job: EngineJob;
  promptLeft: number;
  generated: number;
  blocks: number;
}

const speedWindowMs = 2_000;
const msPerSecond = 1_000;

/** Creates an engine that works until it is stopped. */
export function createFakeEngine(options: FakeEngineOptions): FakeEngine {
  const { figures } = options;
  const cache = createPrefixCache(figures.cacheBlocks);
  const queued: Sequence[] = [];
  let running: Sequence[] = [];
  let role = options.role;
  let changing = false;
  let stepping = false;
  let stopped = false;
  let sequence = 0;
  let usedBlocks = 0;
  const work = { promptTokens: 0, outputTokens: 0, repeatedTokens: 0 };
  const recent = { prompt: 0, promptMs: 0, output: 0, outputMs: 0 };

  function admitQueued(): void {
    while (queued.length > 0 && running.length < figures.maxBatch) {
      const next = queued[0];
      if (!next) return;
      const blocks = countBlocks(next);
      if (usedBlocks + blocks > figures.kvBlocks && running.length > 0) return;
      queued.shift();
      next.blocks = blocks;
      usedBlocks += blocks;
      running.push(next);
    }
  }

  function addQueued(entry: Sequence): void {
    const index = queued.findIndex((other) =>
      other.job.priority < entry.job.priority
    );
    queued.splice(index < 0 ? queued.length : index, 0, entry);
  }

  /** Gives back the newest sequence's memory; its prompt is computed again. */
  function releaseNewest(): void {
    const last = running.pop();
    if (!last) return;
    usedBlocks -= last.blocks;
    last.blocks = 0;
    last.promptLeft = last.job.promptTokens + last.generated;
    work.repeatedTokens += last.promptLeft;
    addQueued(last);
  }

  function runStep(): void {
    admitQueued();
    if (running.length === 0 || changing || stopped) {
      stepping = false;
      return;
    }
    stepping = true;
    const decoding = running.filter((entry) => entry.promptLeft === 0);
    const budget = decoding.length > 0
      ? figures.mixedChunkTokens
      : figures.prefillChunkTokens;
    const chunks = splitBudget(running, budget);
    const prompt = chunks.reduce((sum, chunk) => sum + chunk.tokens, 0);
    const ms = Math.round(
      figures.stepMs + decoding.length * figures.msPerSequence +
        prompt * figures.msPerPromptToken,
    );
    setTimeout(() => {
      applyStep({ decoding, chunks, prompt, ms });
      runStep();
    }, ms);
  }

  function applyStep(step: {
    readonly decoding: readonly Sequence[];
    readonly chunks: readonly Chunk[];
    readonly prompt: number;
    readonly ms: number;
  }): void {
    noteSpeeds(step.prompt, { tokens: step.decoding.length, ms: step.ms });
    work.promptTokens += step.prompt;
    work.outputTokens += step.decoding.length;
    for (const chunk of step.chunks) {
      chunk.entry.promptLeft -= chunk.tokens;
      if (chunk.entry.promptLeft > 0) continue;
      cache.add(chunk.entry.job.prefixes);
      if (chunk.entry.job.prefillOnly) closeSequence(chunk.entry);
      else addToken(chunk.entry);
    }
    for (const entry of step.decoding) addToken(entry);
    while (usedBlocks > figures.kvBlocks && running.length > 1) releaseNewest();
  }

  function addToken(entry: Sequence): void {
    if (!running.includes(entry)) return;
    entry.generated += 1;
    entry.job.onToken();
    if (entry.generated >= entry.job.outputTokens) return closeSequence(entry);
    const blocks = countBlocks(entry);
    usedBlocks += blocks - entry.blocks;
    entry.blocks = blocks;
  }

  function closeSequence(entry: Sequence): void {
    running = running.filter((other) => other !== entry);
    usedBlocks -= entry.blocks;
    entry.job.onEnd();
  }

  function noteSpeeds(
    prompt: number,
    decode: { readonly tokens: number; readonly ms: number },
  ): void {
    const keep = Math.exp(-decode.ms / speedWindowMs);
    recent.prompt = recent.prompt * keep + prompt;
    recent.promptMs = recent.promptMs * keep + (prompt > 0 ? decode.ms : 0);
    recent.output = recent.output * keep + decode.tokens;
    recent.outputMs = recent.outputMs * keep +
      (decode.tokens > 0 ? decode.ms : 0);
  }

  function buildReport(): LoadReport {
    sequence += 1;
    const all = [...running, ...queued];
    return {
      sequence,
      startId: `${options.name}-1`,
      ageMs: figures.reportLagMs,
      role,
      changing,
      running: running.length,
      queued: queued.length,
      queuedPromptTokens: all.reduce((sum, each) => sum + each.promptLeft, 0),
      kvBlocksUsed: usedBlocks,
      kvBlocksTotal: figures.kvBlocks,
      prefillTokensPerSecond: computeSpeed(recent.prompt, recent.promptMs),
      decodeTokensPerSecond: computeSpeed(recent.output, recent.outputMs),
      cachedPrefixes: cache.list(),
    };
  }

  const reporter = setInterval(() => {
    const report = buildReport();
    setTimeout(() => options.onReport(report), figures.reportLagMs);
  }, figures.reportIntervalMs);

  return {
    name: options.name,
    failureDomain: options.failureDomain,
    start(job): boolean {
      if (changing || !canRun(role, job)) return false;
      const cached = job.imported
        ? job.promptTokens
        : cache.countTokens(job.prefixes);
      const promptLeft = job.imported
        ? 0
        : Math.max(job.promptTokens - cached, 1);
      addQueued({ job, promptLeft, generated: 0, blocks: 0 });
      if (!stepping) {
        stepping = true;
        setTimeout(runStep, 0);
      }
      return true;
    },
    getRole: () => role,
    isChanging: () => changing,
    countJobs: () => running.length + queued.length,
    setRole(next): void {
      changing = true;
      setTimeout(() => {
        role = next;
        changing = false;
        cache.clear();
      }, figures.changeMs);
    },
    getWork: () => ({ ...work }),
    stop(): void {
      stopped = true;
      clearInterval(reporter);
    },
  };
}

interface Chunk {
  readonly entry: Sequence;
  readonly tokens: number;
}

function splitBudget(
  running: readonly Sequence[],
  budget: number,
): readonly Chunk[] {
  const chunks: Chunk[] = [];
  let left = budget;
  for (const entry of running) {
    if (entry.promptLeft === 0 || left === 0) continue;
    const tokens = Math.min(entry.promptLeft, left);
    chunks.push({ entry, tokens });
    left -= tokens;
  }
  return chunks;
}

function canRun(role: EngineRole, job: EngineJob): boolean {
  if (role === EngineRole.Prefill) return job.prefillOnly;
  return role === EngineRole.Mixed || job.imported;
}

function countBlocks(entry: Sequence): number {
  const tokens = entry.job.promptTokens + entry.generated;
  return Math.ceil(tokens / kvBlockTokens);
}

function computeSpeed(tokens: number, ms: number): number {
  return ms > 0 ? tokens * msPerSecond / ms : 0;
}
