/**
 * State of every engine as one instance knows it: the newest load report, flags
 * set by the daemon, and the instance's own work, which reports include only
 * after a delay.
 */
import {
  type EndpointName,
  EngineRole,
  type FailureDomain,
  kvBlockTokens,
  type LoadReport,
} from "../../types/index.ts";
import { createRecentRate } from "./rates.ts";

/** State of an engine from other sources than its load reports. */
export interface EndpointFlags {
  readonly failureDomain: FailureDomain;
  /** Role according to the bundle or the last order; used until a report arrives. */
  readonly role: EngineRole;
  readonly draining: boolean;
  readonly leaving: boolean;
  /** The engine has not responded for longer than its load explains. */
  readonly unresponsive: boolean;
  /** An order is changing the engine's role or models. */
  readonly changing: boolean;
}

/** Size of one request's work on an engine. */
export interface WorkSize {
  readonly promptTokens: number;
  /** Prompt tokens whose KV cache the engine already holds. */
  readonly cachedTokens?: number;
  readonly expectedTokens: number;
  /** Digests of the prompt's prefixes, which the engine has in its KV cache after prefill. */
  readonly prefixes?: readonly string[];
}

/** One request's work on an engine, from dispatch to its end. */
export interface WorkTicket {
  /** Ends the prefill and records the prompt's prefixes as cached. */
  readonly recordFirstToken: () => void;
  /** Ends the prefill without recording prefixes, as when a stream is resumed. */
  readonly recordToken: () => void;
  /** Ends the work; further calls do nothing. */
  readonly close: () => void;
}

/** Snapshot of an engine's state, on which routing decides. */
export interface EngineView extends EndpointFlags {
  readonly engine: EndpointName;
  readonly report: LoadReport | undefined;
  /** Time since the report's values were measured, in ms; infinite without a report. */
  readonly reportAgeMs: number;
  /** Requests of this instance on the engine. */
  readonly ownRunning: number;
  /** Prompt tokens of own requests sent after the report was measured and still without a first token. */
  readonly ownUnreportedTokens: number;
  /** KV blocks of own requests sent after the report was measured. */
  readonly ownUnreportedBlocks: number;
  /** Estimated prompt tokens that other instances sent since the report was measured. */
  readonly othersUnreportedTokens: number;
  /** Prefill speed averaged over reports, in tokens per second. */
  readonly prefillSpeed: number;
  /** Decode speed averaged over reports, in tokens per second, summed over all requests. */
  readonly decodeSpeed: number;
  /** Estimated number of requests that the engine runs at once; infinite until it has reported a queue. */
  readonly batchLimit: number;
  /** Fraction of full load that the engine gets after a start or change, 0 to 1. */
  readonly slowStartFactor: number;
  /** Whether the engine may get new work: no flag or report excludes it. */
  readonly usable: boolean;
  /** Whether the engine probably has the prefix in its KV cache. */
  readonly hasPrefix: (digest: string) => boolean;
}

/** State of all engines, fed by reports, flags and the instance's own work. */
export interface EndpointTable {
  /** Applies a report unless it is outdated; returns whether it was applied. */
  readonly observeReport: (
    engine: EndpointName,
    report: LoadReport,
  ) => boolean;
  /** Updates the given flags; adds the engine if it is unknown. */
  readonly setFlags: (
    engine: EndpointName,
    flags: Partial<EndpointFlags>,
  ) => void;
  readonly removeEngine: (engine: EndpointName) => void;
  /** Counts a request sent to the engine; adds the engine if it is unknown. */
  readonly openWork: (engine: EndpointName, size: WorkSize) => WorkTicket;
  readonly getView: (engine: EndpointName) => EngineView | undefined;
  readonly listViews: () => readonly EngineView[];
}

/** Options of the endpoint table. */
export interface EndpointTableOptions {
  /** Number of live instances that send to the same engines, including this one. */
  readonly countInstances: () => number;
}

/** Speeds assumed before the first report of one, in tokens per second. */
const defaultPrefillSpeed = 8_000;
const defaultDecodeSpeed = 1_000;
/** Weight of a new report in the averaged speeds. */
const speedSmoothingFactor = 0.3;
/** Time in which an engine's load may rise to full after a restart or change, in ms. */
const slowStartMs = 10_000;
const minSlowStartFactor = 0.2;
/** Window of the rate at which this instance sends prompt tokens, in ms. */
const sentRateWindowMs = 5_000;
/** Growth of the batch limit with each report that shows no queue. */
const batchLimitGrowthFactor = 1.03;
const maxOwnPrefixes = 512;

/** Values shared by all views that are built at one time. */
interface ViewContext {
  readonly nowMs: number;
  /** Estimated prompt tokens per ms that all other instances together send to one engine. */
  readonly othersPerMs: number;
}

/** A request of this instance on an engine. */
interface OwnWork {
  readonly sentMs: number;
  /** Prompt tokens that the engine must compute: those not in its KV cache. */
  readonly tokens: number;
  /** KV blocks for the prompt and the expected output. */
  readonly blocks: number;
  /** Whether the prompt is still queued or in prefill. */
  waiting: boolean;
}

interface EngineEntry {
  flags: EndpointFlags;
  report: LoadReport | undefined;
  /** Time at which the report's values were measured, on this instance's clock. */
  measuredMs: number;
  /** Time of the last restart or completed change, which begins the slow start. */
  startedMs: number;
  reportedPrefixes: ReadonlySet<string>;
  prefillSpeed: number;
  decodeSpeed: number;
  batchLimit: number;
  /** Start ids of all applied reports; identifies late reports of an earlier start. */
  readonly startIds: Set<string>;
  readonly work: Set<OwnWork>;
  /** Work sent after the report was measured. */
  readonly unreported: Set<OwnWork>;
  /** Prefixes that own requests have cached, with their times, least recently used first. */
  readonly ownPrefixes: Map<string, number>;
  readonly hasPrefix: (digest: string) => boolean;
}

/** Creates the table of one instance, without engines. */
export function createEndpointTable(
  options: EndpointTableOptions,
): EndpointTable {
  const entries = new Map<EndpointName, EngineEntry>();
  const sent = createRecentRate(sentRateWindowMs);

  function getEntry(engine: EndpointName): EngineEntry {
    const known = entries.get(engine);
    if (known) return known;
    const entry = createEntry();
    entries.set(engine, entry);
    return entry;
  }

  function buildViewContext(): ViewContext {
    const others = Math.max(options.countInstances() - 1, 0);
    return {
      nowMs: performance.now(),
      othersPerMs: others * sent.getPerMs() /
        Math.max(entries.size, 1),
    };
  }

  function buildView(
    engine: EndpointName,
    entry: EngineEntry,
    { nowMs, othersPerMs }: ViewContext,
  ): EngineView {
    const ageMs = entry.report ? nowMs - entry.measuredMs : Infinity;
    const own = sumUnreported(entry);
    const lagMs = Math.min(ageMs, sentRateWindowMs);
    const { failureDomain, draining, leaving, unresponsive, changing } =
      entry.flags;
    // Lists every field: an object spread followed by this many fields is over 100 times slower.
    return {
      failureDomain,
      draining,
      leaving,
      unresponsive,
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
      slowStartFactor: computeSlowStartFactor(nowMs - entry.startedMs),
      usable: !draining && !leaving && !unresponsive && !changing &&
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
    setFlags(engine, flags): void {
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
      return entry && buildView(engine, entry, buildViewContext());
    },
    listViews(): readonly EngineView[] {
      const viewContext = buildViewContext();
      return [...entries].map(([engine, entry]) =>
        buildView(engine, entry, viewContext)
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
      unresponsive: false,
      changing: false,
    },
    report: undefined,
    measuredMs: -Infinity,
    startedMs: -Infinity,
    reportedPrefixes: new Set(),
    prefillSpeed: defaultPrefillSpeed,
    decodeSpeed: defaultDecodeSpeed,
    batchLimit: Infinity,
    startIds: new Set(),
    work: new Set(),
    unreported: new Set(),
    ownPrefixes: new Map(),
    hasPrefix: (digest) =>
      entry.reportedPrefixes.has(digest) || entry.ownPrefixes.has(digest),
  };
  return entry;
}

/** Whether to apply the report; one of an earlier start of the engine never replaces one of a later start. */
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
  entry.measuredMs = nowMs - report.ageMs;
  for (const work of entry.unreported) {
    if (work.sentMs < entry.measuredMs) entry.unreported.delete(work);
  }
  entry.reportedPrefixes = new Set(report.cachedPrefixes);
  entry.batchLimit = roleChanged
    ? Infinity
    : computeBatchLimit(entry.batchLimit, report);
  entry.prefillSpeed = computeSpeed(
    roleChanged ? 0 : entry.prefillSpeed,
    report.prefillTokensPerSecond,
  ) || entry.prefillSpeed;
  entry.decodeSpeed = computeSpeed(
    roleChanged ? 0 : entry.decodeSpeed,
    report.decodeTokensPerSecond,
  ) || entry.decodeSpeed;
}

/**
 * Updates the exponential moving average of a speed; 0 for `known` starts a new
 * average. An engine that did no prefill, or no decode, reports 0 for that speed,
 * which is ignored.
 */
function computeSpeed(known: number, reported: number): number {
  if (reported <= 0) return known;
  if (known === 0) return reported;
  return known + (reported - known) * speedSmoothingFactor;
}

/** The number of running requests while others are queued; without a queue the limit grows slowly. */
function computeBatchLimit(known: number, report: LoadReport): number {
  if (report.queued > 0) return Math.max(report.running, 1);
  return Math.max(known * batchLimitGrowthFactor, report.running);
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
    recordFirstToken(): void {
      if (!work.waiting) return;
      work.waiting = false;
      addPrefixes(entry, size.prefixes ?? []);
    },
    recordToken(): void {
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

function computeSlowStartFactor(sinceStartMs: number): number {
  const share = sinceStartMs / slowStartMs;
  return Math.min(Math.max(share, minSlowStartFactor), 1);
}
