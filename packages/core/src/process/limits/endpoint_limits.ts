/**
 * Limits that endpoints name in their answers for the requests of all instances
 * together. An instance learns a limit from its own answers and from the reports
 * of the others; the newest answer counts. It keeps to the sum over all
 * instances with a copy of one shared token bucket for each endpoint.
 */
import { createHash } from "node:crypto";
import { type LogEvent, logEvent } from "../../shared/index.ts";
import type { EndpointName, ListedEndpoint } from "../../types/index.ts";
import { limitEvents } from "./events.ts";
import type {
  LimitReport,
  LimitReports,
  ObservedLimit,
  ReportSource,
} from "./limit_types.ts";
import { createSharedBucket, type SharedBucket } from "./shared_bucket.ts";

/** An endpoint's answer, as far as it concerns its limit. */
export interface LimitAnswer {
  /** Requests a second from all instances together; undefined if the answer names no limit. */
  readonly perSecond: number | undefined;
  readonly step: LimitStep;
  /** Whether the endpoint did what it was asked for; only such an answer without a limit ends one. */
  readonly succeeded: boolean;
}

/** What an endpoint was asked for. */
export enum LimitStep {
  Call = "call",
  Generate = "generate",
  Export = "export",
}

/** An endpoint's process, as far as limits tell processes apart. */
export type LimitedEndpoint = Pick<ListedEndpoint, "name" | "startedAtMs">;

/** Limits that one instance knows of. */
export interface EndpointLimits {
  /** Counts a call that could be sent to the endpoint, if that has a limit. */
  readonly recordDemand: (endpoint: LimitedEndpoint) => void;
  /** Whether a call may be sent to the endpoint now; calls get their chances independently. */
  readonly mayUse: (endpoint: LimitedEndpoint, callId: string) => boolean;
  /** Whether the endpoint has a limit. */
  readonly isLimited: (endpoint: EndpointName) => boolean;
  /** Counts a request to an endpoint. */
  readonly recordSend: (endpoint: LimitedEndpoint) => void;
  readonly recordAnswer: (
    endpoint: LimitedEndpoint,
    answer: LimitAnswer,
  ) => void;
  /** Logs that a call found no endpoint with room, and returns when its caller may expect some, in ms. */
  readonly refuse: (
    endpoints: readonly LimitedEndpoint[],
    callId: string,
  ) => number;
  /** Reports for the next digest; undefined if there are none. */
  readonly collectReports: () => LimitReports | undefined;
  /** Applies the reports of a peer's digest; undefined if it has none. */
  readonly applyReports: (
    reports: LimitReports | undefined,
    source: ReportSource,
  ) => void;
  /** Applies what a peer knows, `delayMs` after it was told, without its own counters. */
  readonly applyKnown: (reports: LimitReports, delayMs: number) => void;
  /** Drops the limit of an endpoint whose process has ended. */
  readonly forget: (endpoint: LimitedEndpoint) => void;
  /** Endpoints with a limit. */
  readonly listLimited: () => readonly EndpointName[];
}

/** Dependencies of the limits. */
export interface EndpointLimitsOptions {
  /** Time until a request of one instance shows in the reports that the others have, in ms. */
  readonly getNewsDelayMs: () => number;
  /** Number of instances, this one included, where some do not report to this one; all report if absent. */
  readonly countInstances?: () => number;
  readonly logEvent?: LogEvent;
}

const msPerSecond = 1_000;
/** Time after which a limit ends that no answer has confirmed, in ms. */
const unconfirmedMs = 30_000;
/** The same in requests that the limit would have allowed. */
const unconfirmedRequests = 3;
/** Time for which reports tell that a limit has ended, in ms. */
const endedReportMs = 10_000;
const maxEndpoints = 1_024;
/** Endpoints in one digest, in turn, so that a batch of relayed digests fits a datagram. */
const maxReported = 16;
/** Change of a limit that is logged, as a share of it. */
const loggedChange = 0.2;
/** Longest and shortest time that callers are told to wait, in ms. */
const maxReturnMs = 10_000;
const minReturnMs = 100;

interface Limit {
  readonly startedAtMs: number;
  /** Undefined if the limit has ended. */
  perSecond: number | undefined;
  loggedPerSecond: number;
  /** When the newest answer came, in ms of `performance.now()`. */
  observedMs: number;
  byExport: boolean;
  /** When the last refused caller is expected back, in ms of `performance.now()`. */
  returnMs: number;
  readonly bucket: SharedBucket;
}

/** Creates a record without limits. */
export function createEndpointLimits(
  options: EndpointLimitsOptions,
): EndpointLimits {
  const log = options.logEvent ?? logEvent;
  const limits = new Map<EndpointName, Limit>();
  /** Place of the next endpoint to report. */
  let reported = 0;

  function getLimit(name: EndpointName): Limit | undefined {
    const limit = limits.get(name);
    if (!limit) return undefined;
    const ageMs = performance.now() - limit.observedMs;
    if (limit.perSecond === undefined) {
      if (ageMs > endedReportMs) limits.delete(name);
      return undefined;
    }
    const maxAgeMs = Math.max(
      unconfirmedMs,
      unconfirmedRequests / limit.perSecond * msPerSecond,
    );
    // A limit of 0 has no bound of its own.
    if (ageMs <= (limit.perSecond > 0 ? maxAgeMs : unconfirmedMs)) return limit;
    limits.delete(name);
    log(limitEvents.limitEnded, {
      endpoint: name,
      former: limit.perSecond,
      expired: true,
      ageMs: Math.round(ageMs),
    });
    return undefined;
  }

  /** Applies what an answer told; false if a newer one is known, or a newer process of the endpoint. */
  function observe(
    name: EndpointName,
    { startedAtMs, perSecond, ageMs, byExport, from }: ObservedLimit & {
      /** What the answer was to, or who told of it. */
      readonly from: string;
    },
  ): boolean {
    const observedMs = performance.now() - ageMs;
    const known = limits.get(name);
    if (known && known.startedAtMs > startedAtMs) return false;
    const current = known?.startedAtMs === startedAtMs ? known : undefined;
    if (current && current.observedMs > observedMs) return false;
    const former = getLimit(name)?.perSecond;
    const fields = { endpoint: name, former, from, ageMs: Math.round(ageMs) };
    if (perSecond === null) {
      if (!current) return false;
      current.perSecond = undefined;
      current.observedMs = observedMs;
      if (former !== undefined) {
        log(limitEvents.limitEnded, {
          ...fields,
          ...current.bucket.getState(),
        });
      }
      return true;
    }
    const limit = current ?? {
      startedAtMs,
      perSecond,
      loggedPerSecond: -Infinity,
      observedMs,
      byExport,
      returnMs: -Infinity,
      bucket: createSharedBucket(perSecond, options),
    };
    limit.perSecond = perSecond;
    limit.observedMs = observedMs;
    limit.byExport = byExport;
    if (perSecond !== former) limit.bucket.setRate(perSecond);
    if (!current) setBounded(limits, { key: name, value: limit });
    const change = Math.abs(perSecond - limit.loggedPerSecond);
    if (former === undefined || change > loggedChange * perSecond) {
      limit.loggedPerSecond = perSecond;
      log(limitEvents.limitNamed, {
        ...fields,
        perSecond,
        byExport,
        ...limit.bucket.getState(),
      });
    }
    return true;
  }

  function buildReport(limit: Limit): LimitReport {
    return {
      startedAtMs: limit.startedAtMs,
      perSecond: limit.perSecond ?? null,
      ageMs: Math.round(performance.now() - limit.observedMs),
      byExport: limit.byExport,
      ...limit.bucket.getCounters(),
    };
  }

  /** The time until a caller's turn comes, behind those that were told to come back before. */
  function estimateReturnMs(limit: Limit): number {
    const nowMs = performance.now();
    return Math.max(nowMs + limit.bucket.getWaitMs(), limit.returnMs) +
      msPerSecond / limit.bucket.getOwnRate() - nowMs;
  }

  return {
    recordDemand: ({ name }) => getLimit(name)?.bucket.recordDemand(),
    mayUse({ name }, callId): boolean {
      const limit = getLimit(name);
      if (!limit) return true;
      const chance = limit.bucket.getChance();
      return computeFraction(`${callId} ${name}`) < chance;
    },
    isLimited: (name) => getLimit(name) !== undefined,
    recordSend: ({ name }) => getLimit(name)?.bucket.recordSend(),
    recordAnswer(endpoint, { perSecond, step, succeeded }): void {
      const limit = getLimit(endpoint.name);
      const byExport = step === LimitStep.Export;
      if (perSecond === undefined) {
        // Answers to exports need not name what the other answers do.
        if (!limit || !succeeded || limit.byExport !== byExport) return;
      }
      observe(endpoint.name, {
        startedAtMs: endpoint.startedAtMs ?? 0,
        perSecond: perSecond ?? null,
        ageMs: 0,
        byExport,
        from: step,
      });
    },
    refuse(endpoints, callId): number {
      const waits = endpoints.flatMap(({ name }) => {
        const limit = getLimit(name);
        return limit ? [{ name, limit, ms: estimateReturnMs(limit) }] : [];
      }).toSorted((left, right) => left.ms - right.ms);
      const [first] = waits;
      if (!first) return minReturnMs;
      const { limit, name } = first;
      const nowMs = performance.now();
      const returnMs = Math.min(Math.max(first.ms, minReturnMs), maxReturnMs);
      limit.returnMs = nowMs + returnMs;
      log(limitEvents.callHeldBack, {
        call: callId,
        endpoint: name,
        perSecond: limit.perSecond,
        limitAgeMs: Math.round(nowMs - limit.observedMs),
        ...limit.bucket.getState(),
        limited: waits.length,
        returnMs: Math.round(returnMs),
      });
      return returnMs;
    },
    collectReports(): LimitReports | undefined {
      for (const name of limits.keys()) getLimit(name);
      if (limits.size === 0) return undefined;
      const from = reported % limits.size;
      const all = [...limits];
      const due = [...all.slice(from), ...all.slice(0, from)]
        .slice(0, maxReported);
      reported = from + due.length;
      return Object.fromEntries(
        due.map(([name, limit]) => [name, buildReport(limit)]),
      );
    },
    applyReports(reports = {}, { instance, start, stopping, delayMs }): void {
      for (const [name, report] of Object.entries(reports)) {
        const ageMs = report.ageMs + delayMs;
        if (isCurrent(report, ageMs)) {
          observe(name, { ...report, ageMs, from: instance });
        }
        const limit = limits.get(name);
        if (limit?.startedAtMs === report.startedAtMs) {
          limit.bucket.applyCounters(instance, { ...report, start });
        }
      }
      if (!stopping) return;
      for (const { bucket } of limits.values()) bucket.removePeer(instance);
    },
    applyKnown(reports, delayMs): void {
      for (const [name, report] of Object.entries(reports)) {
        const ageMs = report.ageMs + delayMs;
        if (isCurrent(report, ageMs)) {
          observe(name, { ...report, ageMs, from: "state" });
        }
      }
    },
    forget({ name, startedAtMs = 0 }): void {
      const limit = limits.get(name);
      if (!limit || limit.startedAtMs > startedAtMs) return;
      limits.delete(name);
      if (limit.perSecond === undefined) return;
      log(limitEvents.limitEnded, {
        endpoint: name,
        former: limit.perSecond,
        replaced: true,
      });
    },
    listLimited: () =>
      [...limits.keys()].filter((name) => getLimit(name) !== undefined),
  };
}

/** Whether a report is young enough for an instance that does not know of the limit. */
function isCurrent({ perSecond }: LimitReport, ageMs: number): boolean {
  return perSecond === null ? ageMs <= endedReportMs : ageMs <= unconfirmedMs;
}

/** Fraction from 0 to 1 that follows from a text, evenly distributed. */
function computeFraction(text: string): number {
  const digest = createHash("sha1").update(text).digest();
  return digest.readUInt32BE(0) / 2 ** 32;
}

/** Sets the entry as the newest one and removes the oldest above `maxEndpoints`. */
function setBounded(
  map: Map<EndpointName, Limit>,
  { key, value }: { readonly key: EndpointName; readonly value: Limit },
): void {
  map.delete(key);
  map.set(key, value);
  const [oldest] = map.keys();
  if (map.size > maxEndpoints && oldest !== undefined) map.delete(oldest);
}
