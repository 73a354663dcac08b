/**
 * Learns how fast each engine computes prompts. Answers engines of one service
 * that differ in speed, called by many instances of which each sees an engine
 * seldom: each time that an instance measures is told to the others. Queues that
 * it does not know of and neighbours on the engine's machine only add to a time,
 * so an engine's speed is taken from the low ones of its last times.
 */
import type { EndpointName, ServiceName } from "../../types/index.ts";

/** How long an engine took to answer with a computed prompt. */
export interface PromptTime {
  readonly service: ServiceName;
  /** Prompt tokens that it computed. */
  readonly tokens: number;
  /** Time that prompts ahead were expected to take, in ms. */
  readonly queueMs: number;
  readonly tookMs: number;
  /** Whether the engine copied cached parts first, which takes a time of its own. */
  readonly copied?: boolean;
}

/** Prompt tokens that engines computed, and in what time, in ms, for a digest. */
export type PromptReports = Readonly<
  Record<EndpointName, readonly [tokens: number, tookMs: number]>
>;

/** Learnt speeds of engines. */
export interface PromptSpeeds {
  /** Prompt tokens that an engine computes per ms: the service's median engine, or the given one. */
  readonly getTokensPerMs: (
    service: ServiceName,
    engine?: EndpointName,
  ) => number;
  /** The same by the mean of this instance's times, with what was known to be ahead. */
  readonly getMeanTokensPerMs: (service: ServiceName) => number;
  /** Time of an answer that does not depend on the prompt, in ms: network, setup and first step. */
  readonly getFixedMs: (service: ServiceName) => number;
  readonly record: (engine: EndpointName, time: PromptTime) => void;
  /** Times since the last digest; undefined if there are none. */
  readonly collectReports: () => PromptReports | undefined;
  /** Applies the times in a peer's digest. */
  readonly applyReports: (reports: PromptReports) => void;
  /** Discards what is known of an engine whose process has ended. */
  readonly forget: (engine: EndpointName) => void;
}

/** Estimate before the first prompt, in tokens per ms: a 70B model on eight accelerators. */
const initialTokensPerMs = 50;
/** The same for the part that does not depend on the prompt, in ms. */
export const initialFixedMs = 25;
/** Fewest tokens of a time that moves the mean, the weight of one, and the factor that it may differ by. */
const minMeanTokens = 2_000;
const meanWeight = 0.05;
const maxMeanFactor = 2;
/** Smaller prompts show nothing of an engine's speed, larger ones nothing of the fixed part. */
const minSpeedTokens = 4_000;
const maxFixedTokens = 1_500;
/** Largest part of the prompt's own time that the ones ahead may take. */
const maxQueueShare = 0.25;
/** Times of an engine that count, and for how long, in ms. */
const maxSamples = 9;
const sampleAgeMs = 15_000;
/** Part of an engine's times that are below its figure. */
const lowShare = 0.3;
/** Times in a row that show that an engine has turned slower, if each is so many times its figure, and for how long they do, in ms. */
const slowSamples = 2;
const slowFactor = 1.8;
const slowAgeMs = 2_000;
/** Factor by which an engine differs from the median before its own figure counts. */
const minDifference = 1.25;
/** Times of small prompts from which the fixed part is taken, and the part of them that is below it: a queue of any length is long for them. */
const maxFixedSamples = 40;
const fixedLowShare = 0.1;
/** Interval at which figures are computed anew without new times, in ms. */
const updateIntervalMs = 500;
/** Engines in one report. */
const maxReports = 32;
/** Shortest time of an engine for one token, in ms. */
const minMsPerToken = 0.000_1;
/** Largest prompt and longest time in a peer's report, in tokens and ms. */
const maxReportedTokens = 10_000_000;
const maxReportedMs = 60_000;
/** Engines of which times are kept. */
const maxEngines = 4_096;
/** Time for which the figure of an engine holds while nothing is added, in ms: each placement asks for all engines several times. */
const figureAgeMs = 100;

interface Sample {
  readonly tokens: number;
  readonly tookMs: number;
  readonly atMs: number;
}

interface Engine {
  /** Oldest first. */
  readonly samples: Sample[];
  figure: number | undefined;
  /** When the figure was computed, in ms; -Infinity after a change. */
  computedMs: number;
}

interface Service {
  /** Moving average of this instance's times, in tokens per ms. */
  meanTokensPerMs: number;
  readonly engines: Set<EndpointName>;
  /** Times of small prompts, oldest first. */
  readonly small: Sample[];
  fixedMs: number;
  /** Time of the median engine for one token, in ms. */
  medianMs: number;
  updatedMs: number;
}

/** Creates speeds without knowledge. */
export function createPromptSpeeds(): PromptSpeeds {
  const services = new Map<ServiceName, Service>();
  /** In the order of their last times. */
  const known = new Map<EndpointName, Engine>();
  const due = new Map<EndpointName, readonly [number, number]>();

  function getService(name: ServiceName): Service {
    const known = services.get(name);
    if (known) return known;
    const created: Service = {
      meanTokensPerMs: initialTokensPerMs,
      engines: new Set(),
      small: [],
      fixedMs: initialFixedMs,
      medianMs: 1 / initialTokensPerMs,
      updatedMs: -Infinity,
    };
    services.set(name, created);
    return created;
  }

  function addSample(
    engine: EndpointName,
    { tokens, tookMs }: Pick<Sample, "tokens" | "tookMs">,
  ): void {
    const sample = { tokens, tookMs, atMs: performance.now() };
    if (tokens <= maxFixedTokens) {
      for (const { engines, small } of services.values()) {
        if (!engines.has(engine)) continue;
        small.push(sample);
        if (small.length > maxFixedSamples) small.shift();
      }
    }
    if (tokens < minSpeedTokens) return;
    const samples = known.get(engine)?.samples ?? [];
    samples.push(sample);
    if (samples.length > maxSamples) samples.shift();
    known.delete(engine);
    known.set(engine, { samples, figure: undefined, computedMs: -Infinity });
    expireEngines(sample.atMs);
  }

  /** Drops engines without recent times: those that are gone may be reported once more. */
  function expireEngines(nowMs: number): void {
    for (const [engine, { samples }] of known) {
      const isRecent = nowMs - (samples.at(-1)?.atMs ?? 0) <= sampleAgeMs;
      if (isRecent && known.size <= maxEngines) return;
      known.delete(engine);
    }
  }

  /** Time of an engine for one token, in ms; undefined where nothing is known. */
  function getFigure(
    name: EndpointName,
    { fixedMs }: Service,
  ): number | undefined {
    const engine = known.get(name);
    if (!engine) return undefined;
    const nowMs = performance.now();
    if (nowMs - engine.computedMs < figureAgeMs) return engine.figure;
    engine.computedMs = nowMs;
    engine.figure = computeFigure(engine.samples, { nowMs, fixedMs });
    return engine.figure;
  }

  /** Computes the fixed part and the median of a service anew from time to time. */
  function updateService(service: Service): void {
    const nowMs = performance.now();
    if (nowMs - service.updatedMs < updateIntervalMs) return;
    service.updatedMs = nowMs;
    if (service.small.length > 0) {
      const times = service.small.map(({ tokens, tookMs }) =>
        Math.max(tookMs - tokens * service.medianMs, 0)
      );
      service.fixedMs = pickQuantile(times, fixedLowShare);
    }
    const figures = [...service.engines].flatMap((engine) => {
      const figure = getFigure(engine, service);
      if (figure === undefined) service.engines.delete(engine);
      return figure ?? [];
    });
    if (figures.length > 0) service.medianMs = pickQuantile(figures, 0.5);
  }

  return {
    getTokensPerMs(name, engine): number {
      const service = getService(name);
      updateService(service);
      const { medianMs } = service;
      if (engine === undefined) return 1 / medianMs;
      service.engines.add(engine);
      const figure = getFigure(engine, service);
      if (figure === undefined) return 1 / medianMs;
      // The fewer times are known, the nearer it is assumed to be to the others.
      const count = known.get(engine)?.samples.length ?? 0;
      const ratio = (figure / medianMs) ** (count / (count + 1));
      const differs = Math.max(ratio, 1 / ratio) >= minDifference;
      return 1 / (medianMs * (differs ? ratio : 1));
    },
    getMeanTokensPerMs: (name) => getService(name).meanTokensPerMs,
    getFixedMs: (name) => getService(name).fixedMs,
    record(engine, { service: name, tokens, queueMs, tookMs, copied }): void {
      const service = getService(name);
      recordMean(service, { tokens, queueMs, tookMs });
      if (copied) return;
      service.engines.add(engine);
      if (queueMs > tokens * service.medianMs * maxQueueShare) return;
      addSample(engine, { tokens, tookMs });
      due.set(engine, [Math.round(tokens), Math.round(tookMs)]);
    },
    collectReports(): PromptReports | undefined {
      if (due.size === 0) return undefined;
      const reports = Object.fromEntries([...due].slice(0, maxReports));
      due.clear();
      return reports;
    },
    applyReports(reports): void {
      for (const [engine, report] of Object.entries(reports)) {
        if (!Array.isArray(report)) continue;
        const [tokens, tookMs] = report as readonly unknown[];
        if (!isWithin(tokens, maxReportedTokens)) continue;
        if (!isWithin(tookMs, maxReportedMs)) continue;
        addSample(engine, { tokens, tookMs });
      }
    },
    forget(engine): void {
      known.delete(engine);
      due.delete(engine);
      for (const { engines } of services.values()) engines.delete(engine);
    },
  };
}

/** Drops times that are too old; undefined where none is left. */
function computeFigure(
  samples: Sample[],
  { nowMs, fixedMs }: { readonly nowMs: number; readonly fixedMs: number },
): number | undefined {
  while (samples[0] && nowMs - samples[0].atMs > sampleAgeMs) samples.shift();
  if (samples.length === 0) return undefined;
  const times = samples.map(({ tokens, tookMs }) =>
    Math.max((tookMs - fixedMs) / tokens, minMsPerToken)
  );
  const figure = pickQuantile(times, lowShare);
  const last = times.slice(-slowSamples);
  const sinceMs = nowMs - (samples.at(-slowSamples)?.atMs ?? -Infinity);
  const isSlower = sinceMs < slowAgeMs &&
    last.every((each) => each > figure * slowFactor);
  return isSlower ? Math.min(...last) : figure;
}

/** Moves the mean of a service by a prompt and those ahead of it. */
function recordMean(
  service: Service,
  { tokens, queueMs, tookMs }: Omit<PromptTime, "service">,
): void {
  const known = service.meanTokensPerMs;
  const computed = tokens + queueMs * known;
  if (computed < minMeanTokens || tookMs <= initialFixedMs) return;
  const sample = computed / (tookMs - initialFixedMs);
  const clipped = Math.min(
    Math.max(sample, known / maxMeanFactor),
    known * maxMeanFactor,
  );
  service.meanTokensPerMs = known + (clipped - known) * meanWeight;
}

/** The number below which the given share of the numbers lies; there has to be one. */
function pickQuantile(numbers: readonly number[], share: number): number {
  const sorted = numbers.toSorted((left, right) => left - right);
  const index = Math.floor((sorted.length - 1) * share);
  return sorted[index] ?? 0;
}

function isWithin(value: unknown, most: number): value is number {
  return typeof value === "number" && value > 0 && value <= most;
}
