/**
 * What one instance knows of every engine: the newest report, flags set by the
 * daemon, and its own work, of which reports know only with a lag.
 */
import {
  type EndpointName,
  EngineRole,
  type FailureDomain,
  kvBlockTokens,
  type LoadReport,
} from "../../types/index.ts";
import { createRecentRate } from "./rates.ts";

/** Flags of an engine, set by whoever learns of them. */
export interface EndpointFlags {
  readonly failureDomain: FailureDomain;
  /** Role by the bundle or the last order, used until a report arrives. */
  readonly role: EngineRole;
  readonly draining: boolean;
  readonly leaving: boolean;
  /** No sign of life within the time that its load explains. */
  readonly silent: boolean;
  /** An order changes its role or models. */
  readonly changing: boolean;
}

/** Size of one request's work on an engine. */
export interface WorkSize {
  readonly promptTokens: number;
  /** Prompt tokens whose KV cache the engine already holds. */
  readonly cachedTokens?: number;
  readonly expectedTokens: number;
  /** Prefix digests, which the engine holds once the prompt is computed. */
  readonly prefixes?: readonly string[];
}

/** One request's work on an engine, from dispatch to its end. */
export interface WorkTicket {
  readonly noteFirstToken: () => void;
  readonly noteToken: () => void;
  /** Ends the work; further calls do nothing. */
  readonly close: () => void;
}

/** An engine as routing sees it at one moment. */
export interface EngineView extends EndpointFlags {
  readonly engine: EndpointName;
  readonly report: LoadReport | undefined;
  /** Time since the report's figures were taken, in ms; infinite without one. */
  readonly reportAgeMs: number;
  /** Requests of this instance on the engine. */
  readonly ownRunning: number;
  /** Own prompt tokens sent after the report's figures and still without a first token. */
  readonly ownUnreportedTokens: number;
  /** KV blocks of own work sent after the report's figures. */
  readonly ownUnreportedBlocks: number;
  /** Prompt tokens that other instances probably sent since the report. */
  readonly othersUnreportedTokens: number;
  /** Speeds learnt from reports, in tokens per second. */
  readonly prefillSpeed: number;
  readonly decodeSpeed: number;
  /** Requests that the engine runs at once before others queue; infinite until seen. */
  readonly batchLimit: number;
  /** Share of full load that a freshly started engine takes, 0 to 1. */
  readonly startShare: number;
  /** Takes new work: no flag is against it. */
  readonly usable: boolean;
  /** Prefixes that the engine probably holds. */
  readonly hasPrefix: (digest: string) => boolean;
}

/** Knowledge of all engines. */
export interface EndpointTable {
  /** Takes a report unless a newer one is known; returns whether it was taken. */
  readonly observeReport: (
    engine: EndpointName,
    report: LoadReport,
  ) => boolean;
  /** Changes some flags; an unknown engine is added. */
  readonly observeFlags: (
    engine: EndpointName,
    flags: Partial<EndpointFlags>,
  ) => void;
  readonly removeEngine: (engine: EndpointName) => void;
  readonly openWork: (engine: EndpointName, size: WorkSize) => WorkTicket;
  readonly getView: (engine: EndpointName) => EngineView | undefined;
  readonly listViews: () => readonly EngineView[];
}

/** Options of the table. */
export interface EndpointTableOptions {
  /** Live instances that send to the same engines, this one included. */
  readonly countInstances: () => number;
}

const defaultPrefillSpeed = 8_000;
const defaultDecodeSpeed = 1_000;
const speedLearningRate = 0.3;
const slowStartMs = 10_000;
const leastStartShare = 0.2;
const rateWindowMs = 5_000;
const batchLimitRise = 1.03;
const maxOwnPrefixes = 512;

interface Moment {
  readonly nowMs: number;
  /** Prompt tokens that other instances send to one engine per ms. */
  readonly othersPerMs: number;
}

interface OwnWork {
  readonly sentMs: number;
  readonly tokens: number;
  readonly blocks: number;
  waiting: boolean;
}

interface EngineEntry {
  flags: EndpointFlags;
  report: LoadReport | undefined;
  /** Time of the report's figures on this instance's clock. */
  figuresMs: number;
  startedMs: number;
  reported: ReadonlySet<string>;
  prefillSpeed: number;
  decodeSpeed: number;
  batchLimit: number;
  readonly startIds: Set<string>;
  readonly work: Set<OwnWork>;
  /** Work sent after the report's figures. */
  readonly unreported: Set<OwnWork>;
  readonly ownPrefixes: Map<string, number>;
  readonly hasPrefix: (digest: string) => boolean;
}

/** Creates the table of one instance. */
export function createEndpointTable(
  options: EndpointTableOptions,
): EndpointTable {
  const entries = new Map<EndpointName, EngineEntry>();
  const sent = createRecentRate(rateWindowMs);

  function getEntry(engine: EndpointName): EngineEntry {
    const known = entries.get(engine);
    if (known) return known;
    const entry = createEntry();
    entries.set(engine, entry);
    return entry;
  }

  /** What views of one moment have in common. */
  function buildMoment(): Moment {
    const others = Math.max(options.countInstances() - 1, 0);
    return {
      nowMs: performance.now(),
      othersPerMs: others * sent.getPerMs() / Math.max(entries.size, 1),
    };
  }

  function buildView(
    engine: EndpointName,
    entry: EngineEntry,
    { nowMs, othersPerMs }: Moment,
  ): EngineView {
    const ageMs = entry.report ? nowMs - entry.figuresMs : Infinity;
    const own = sumUnreported(entry);
    const lagMs = Math.min(ageMs, rateWindowMs);
    const { failureDomain, draining, leaving, silent, changing } = entry.flags;
    // Every field by name: a spread before so many more is over 100 times slower.
    return {
      failureDomain,
      draining,
      leaving,
      silent,
      changing,
      role: entry.report?.role ?? entry.flags.role,
      engine,
      report: entry.report,
      reportAgeMs: ageMs,
      ownRunning: entry.work.size,
      ownUnreportedTokens: own.tokens,
      ownUnreportedBlocks: own.blocks,
      othersUnreportedTokens: othersPerMs * lagMs,
      prefillSpeed: entry.prefillSpeed,
      decodeSpeed: entry.decodeSpeed,
      batchLimit: entry.batchLimit,
      startShare: computeStartShare(nowMs - entry.startedMs),
      usable: !draining && !leaving && !silent && !changing &&
        !entry.report?.changing,
      hasPrefix: entry.hasPrefix,
    };
  }

  return {
    observeReport(engine, report): boolean {
      const entry = getEntry(engine);
      if (!isNewer(report, entry)) return false;
      applyReport(entry, report);
      return true;
    },
    observeFlags(engine, flags): void {
      const entry = getEntry(engine);
      entry.flags = { ...entry.flags, ...flags };
    },
    removeEngine(engine): void {
      entries.delete(engine);
    },
    openWork(engine, size): WorkTicket {
      const entry = getEntry(engine);
      const tokens = Math.max(size.promptTokens - (size.cachedTokens ?? 0), 0);
      sent.add(tokens);
      return openTicket(entry, { ...size, tokens });
    },
    getView(engine): EngineView | undefined {
      const entry = entries.get(engine);
      return entry && buildView(engine, entry, buildMoment());
    },
    listViews(): readonly EngineView[] {
      const moment = buildMoment();
      return [...entries].map(([engine, entry]) =>
        buildView(engine, entry, moment)
      );
    },
  };
}

function createEntry(): EngineEntry {
  const entry: EngineEntry = {
    flags: {
      failureDomain: "",
      role: EngineRole.Mixed,
      draining: false,
      leaving: false,
      silent: false,
      changing: false,
    },
    report: undefined,
    figuresMs: -Infinity,
    startedMs: -Infinity,
    reported: new Set(),
    prefillSpeed: defaultPrefillSpeed,
    decodeSpeed: defaultDecodeSpeed,
    batchLimit: Infinity,
    startIds: new Set(),
    work: new Set(),
    unreported: new Set(),
    ownPrefixes: new Map(),
    hasPrefix: (digest) =>
      entry.reported.has(digest) || entry.ownPrefixes.has(digest),
  };
  return entry;
}

/** A report of an earlier start of the engine never replaces one of a later start. */
function isNewer(report: LoadReport, entry: EngineEntry): boolean {
  const known = entry.report;
  if (!known) return true;
  if (report.startId === known.startId) return report.sequence > known.sequence;
  return !entry.startIds.has(report.startId);
}

function applyReport(entry: EngineEntry, report: LoadReport): void {
  const nowMs = performance.now();
  const restarted = entry.report !== undefined &&
    entry.report.startId !== report.startId;
  const changed = entry.report?.changing === true && !report.changing;
  if (restarted || changed) {
    entry.startedMs = nowMs;
    entry.ownPrefixes.clear();
  }
  const roleChanged = entry.report?.role !== report.role;
  entry.startIds.add(report.startId);
  entry.report = report;
  entry.figuresMs = nowMs - report.ageMs;
  for (const work of entry.unreported) {
    if (work.sentMs < entry.figuresMs) entry.unreported.delete(work);
  }
  entry.reported = new Set(report.cachedPrefixes);
  entry.batchLimit = roleChanged
    ? Infinity
    : computeBatchLimit(entry.batchLimit, report);
  entry.prefillSpeed = learnSpeed(
    roleChanged ? 0 : entry.prefillSpeed,
    report.prefillTokensPerSecond,
  ) || entry.prefillSpeed;
  entry.decodeSpeed = learnSpeed(
    roleChanged ? 0 : entry.decodeSpeed,
    report.decodeTokensPerSecond,
  ) || entry.decodeSpeed;
}

/** Follows the reported speeds; an engine without such work reports none. */
function learnSpeed(known: number, reported: number): number {
  if (reported <= 0) return known;
  if (known === 0) return reported;
  return known + (reported - known) * speedLearningRate;
}

/** What ran while others queued; without a queue the limit rises slowly. */
function computeBatchLimit(known: number, report: LoadReport): number {
  if (report.queued > 0) return Math.max(report.running, 1);
  return Math.max(known * batchLimitRise, report.running);
}

function openTicket(
  entry: EngineEntry,
  size: WorkSize & { readonly tokens: number },
): WorkTicket {
  const work: OwnWork = {
    sentMs: performance.now(),
    tokens: size.tokens,
    blocks: Math.ceil(
      (size.promptTokens + size.expectedTokens) / kvBlockTokens,
    ),
    waiting: true,
  };
  entry.work.add(work);
  entry.unreported.add(work);
  return {
    noteFirstToken(): void {
      if (!work.waiting) return;
      work.waiting = false;
      addPrefixes(entry, size.prefixes ?? []);
    },
    noteToken(): void {
      work.waiting = false;
    },
    close(): void {
      work.waiting = false;
      entry.work.delete(work);
      entry.unreported.delete(work);
    },
  };
}

function addPrefixes(entry: EngineEntry, prefixes: readonly string[]): void {
  for (const digest of prefixes) {
    entry.ownPrefixes.delete(digest);
    entry.ownPrefixes.set(digest, performance.now());
  }
  for (const oldest of entry.ownPrefixes.keys()) {
    if (entry.ownPrefixes.size <= maxOwnPrefixes) return;
    entry.ownPrefixes.delete(oldest);
  }
}

function sumUnreported(
  entry: EngineEntry,
): { readonly tokens: number; readonly blocks: number } {
  let tokens = 0;
  let blocks = 0;
  for (const work of entry.unreported) {
    blocks += work.blocks;
    if (work.waiting) tokens += work.tokens;
  }
  return { tokens, blocks };
}

function computeStartShare(sinceStartMs: number): number {
  const share = sinceStartMs / slowStartMs;
  return Math.min(Math.max(share, leastStartShare), 1);
}
