/**
 * Learns how long calls take at each plain endpoint in relation to the other
 * ones of its service. One figure stands for each endpoint, whatever the kind of work:
 * 1 is the service's median, 2 takes twice as long. A service that is slow as a
 * whole moves its usual times, not the figures of its endpoints.
 */
import { type LogEvent, logEvent } from "../../shared/index.ts";
import type {
  EndpointName,
  ServiceName,
  StatedLoad,
} from "../../types/index.ts";
import type { Capacities, SpeedReports } from "./capacity_types.ts";
import { capacityEvents } from "./events.ts";
import {
  addSample,
  createEvidence,
  type Evidence,
  getWeight,
} from "./evidence.ts";
import { createPromptSpeeds } from "./prompt_speeds.ts";

/** Dependencies of the figures. */
export interface CapacitiesOptions {
  readonly logEvent?: LogEvent;
}

/** Samples over which the usual time of a kind of work is averaged. */
const usualSamples = 40;
/** A sample counts as at most this factor off the endpoint's figure so far. */
const maxSampleFactor = 4;
/** Bound of a figure and its inverse. */
const maxSlowness = 8;
/** Weight of the assumption that an endpoint is like the others, in samples. */
const priorWeight = 0.7;
/** Interval at which a service's median is computed anew, in ms. */
const medianIntervalMs = 250;
/** Time without news after which an endpoint is removed, in ms. */
const expiryMs = 60_000;
/** Time after which an endpoint's own figures have lost two thirds of their weight, in ms: they change several times a second. */
const statedAgingMs = 200;
/** Trust in stated slowness at first, and the part of the way to 0 or 1 that each answer moves it. */
const initialTrust = 0.5;
const trustStep = 0.1;
/** Change that is reported at once, as a logarithm, and the interval of other reports, in ms. */
const reportedChange = Math.log(1.2);
const reportIntervalMs = 3_000;
/** Shortest time between two reports of one endpoint, in ms. */
const minReportIntervalMs = 300;
const maxReports = 16;
const reportScale = 100;
/** Change that is logged, as a logarithm, the least time between two lines of one endpoint, in ms, and the lines in that time. */
const loggedChange = Math.log(2);
const logIntervalMs = 10_000;
const maxLinesPerInterval = 20;
const slowFrom = 2;

interface Entry {
  readonly pool: Pool;
  readonly own: Evidence;
  load?: StatedLoad;
  loadMs: number;
  /** Usual stated slowness, as a logarithm. */
  readonly stated: Evidence;
  /** How well stated slowness foretells answer times, 0 to 1. */
  trust: number;
  reported: number;
  reportedMs: number;
  logged: number;
  loggedMs: number;
}

/** The endpoints of one service. */
interface Pool {
  readonly entries: Map<EndpointName, Entry>;
  /** Usual time of a unit by kind of work, as logarithm of ms, and its samples. */
  readonly usual: Map<string, { mean: number; samples: number }>;
  rebasedMs: number;
}

/** Creates figures without knowledge. */
export function createCapacities(options: CapacitiesOptions = {}): Capacities {
  const log = options.logEvent ?? logEvent;
  const prompts = createPromptSpeeds();
  const pools = new Map<ServiceName, Pool>();
  const entries = new Map<EndpointName, Entry>();
  /** Reports of all peers together, by endpoint. */
  const peers = new Map<EndpointName, Evidence>();
  /** Endpoints with work since their last report. */
  const due = new Set<EndpointName>();
  let lines = 0;
  let linesMs = -Infinity;

  function getPool(service: ServiceName): Pool {
    const known = pools.get(service);
    if (known) return known;
    const pool: Pool = {
      entries: new Map(),
      usual: new Map(),
      rebasedMs: -Infinity,
    };
    pools.set(service, pool);
    return pool;
  }

  function getEntry(name: EndpointName, service: ServiceName): Entry {
    const pool = getPool(service);
    const known = entries.get(name);
    if (known?.pool === pool) return known;
    const entry: Entry = {
      pool,
      own: createEvidence(),
      loadMs: -Infinity,
      stated: createEvidence(),
      trust: initialTrust,
      reported: 0,
      reportedMs: -Infinity,
      logged: 0,
      loggedMs: -Infinity,
    };
    known?.pool.entries.delete(name);
    entries.set(name, entry);
    pool.entries.set(name, entry);
    return entry;
  }

  /** Makes the median of a service's figures 1, and removes endpoints without news. */
  function rebasePool(pool: Pool): void {
    const nowMs = performance.now();
    if (nowMs - pool.rebasedMs < medianIntervalMs) return;
    pool.rebasedMs = nowMs;
    const means: number[] = [];
    for (const [name, { own, loadMs }] of pool.entries) {
      if (nowMs - Math.max(own.updatedMs, loadMs) > expiryMs) forget(name);
      else if (own.weight > 0) means.push(own.mean);
    }
    means.sort((left, right) => left - right);
    const median = means[Math.floor((means.length - 1) / 2)] ?? 0;
    for (const { own } of pool.entries.values()) {
      own.mean -= median;
      if (own.surprising !== undefined) own.surprising -= median;
    }
    for (const usual of pool.usual.values()) usual.mean += median;
  }

  function forget(name: EndpointName): void {
    entries.get(name)?.pool.entries.delete(name);
    entries.delete(name);
    peers.delete(name);
    due.delete(name);
  }

  /** Figure without the endpoint's stated one, as a logarithm relative to the median. */
  function getLearnt(name: EndpointName): number {
    const entry = entries.get(name);
    const reported = peers.get(name);
    if (entry) rebasePool(entry.pool);
    const ownWeight = entry ? getWeight(entry.own) : 0;
    const peersWeight = reported ? getWeight(reported) : 0;
    return (ownWeight * (entry?.own.mean ?? 0) +
      peersWeight * (reported?.mean ?? 0)) /
      (ownWeight + peersWeight + priorWeight);
  }

  /** What the endpoint's own figure adds to the learnt one now, as a logarithm. */
  function getStatedChange({ load, loadMs, stated }: Entry): number {
    if (load?.slowness === undefined) return 0;
    const ageMs = performance.now() - loadMs;
    return fitLogarithm(
      (convertFactor(load.slowness) - stated.mean) *
        Math.exp(-ageMs / statedAgingMs),
      maxSampleFactor,
    );
  }

  function updateTrust(entry: Entry, sample: number): void {
    const stated = getStatedChange(entry);
    // Small differences show nothing.
    if (Math.abs(stated) < Math.log(1.2)) return;
    const helped = Math.abs(sample - entry.own.mean - stated) <
      Math.abs(sample - entry.own.mean);
    entry.trust += ((helped ? 1 : 0) - entry.trust) * trustStep;
  }

  function logChange(name: EndpointName, entry: Entry): void {
    const nowMs = performance.now();
    const figure = getLearnt(name);
    if (Math.abs(figure - entry.logged) < loggedChange) return;
    if (nowMs - entry.loggedMs < logIntervalMs) return;
    if (nowMs - linesMs >= logIntervalMs) {
      linesMs = nowMs;
      lines = 0;
    }
    lines += 1;
    if (lines > maxLinesPerInterval) return;
    log(capacityEvents.slownessChanged, {
      endpoint: name,
      slowness: formatSlowness(figure),
      former: formatSlowness(entry.logged),
      ownSamples: Math.round(getWeight(entry.own)),
      peersSamples: Math.round(getWeight(peers.get(name) ?? createEvidence())),
      stated: entry.load?.slowness,
    });
    entry.logged = figure;
    entry.loggedMs = nowMs;
  }

  return {
    getSlowness({ name }): number {
      const entry = entries.get(name);
      const change = entry ? getStatedChange(entry) * entry.trust : 0;
      return Math.exp(fitLogarithm(getLearnt(name) + change, maxSlowness));
    },
    prompts,
    getUsualMs(service, kind): number | undefined {
      const usual = pools.get(service)?.usual.get(kind);
      return usual && Math.exp(usual.mean);
    },
    countUntracked(name, tracked): number {
      const entry = entries.get(name);
      if (!entry?.load) return 0;
      const { running, waiting, slots } = entry.load;
      const ageMs = performance.now() - entry.loadMs;
      const untracked = Math.min(
        Math.max(running + waiting - tracked, 0),
        slots,
      );
      return untracked * Math.exp(-ageMs / statedAgingMs);
    },
    recordWork(name, { service, kind, units, tookMs }): void {
      if (units <= 0 || !(tookMs > 0)) return;
      const entry = getEntry(name, service);
      const usual = getUsual(entry.pool, kind);
      const perUnit = Math.log(tookMs / units);
      rebasePool(entry.pool);
      const known = entry.own.mean;
      if (usual.samples === 0) usual.mean = perUnit - known;
      const difference = perUnit - usual.mean - known;
      const sample = known + fitLogarithm(difference, maxSampleFactor);
      updateTrust(entry, sample);
      addSample(entry.own, sample);
      usual.samples = Math.min(usual.samples + 1, usualSamples);
      usual.mean += (perUnit - entry.own.mean - usual.mean) / usual.samples;
      due.add(name);
      logChange(name, entry);
    },
    recordStated({ name, service }, load): void {
      if (!load) return;
      const entry = getEntry(name, service);
      entry.load = load;
      entry.loadMs = performance.now();
      if (load.slowness !== undefined) {
        addSample(entry.stated, convertFactor(load.slowness));
      }
    },
    collectReports(): SpeedReports | undefined {
      const nowMs = performance.now();
      const reports: Record<EndpointName, number> = {};
      let count = 0;
      for (const name of due) {
        if (count >= maxReports) break;
        const entry = entries.get(name);
        const weight = entry ? getWeight(entry.own) : 0;
        if (!entry || weight < priorWeight) {
          due.delete(name);
          continue;
        }
        rebasePool(entry.pool);
        const figure = entry.own.mean;
        const sinceMs = nowMs - entry.reportedMs;
        const changed = Math.abs(figure - entry.reported) >= reportedChange;
        if (sinceMs < minReportIntervalMs) continue;
        if (!changed && sinceMs < reportIntervalMs) continue;
        due.delete(name);
        // An endpoint like the others needs no report, unless it was reported as another.
        const isUsual = Math.abs(figure) < reportedChange / 2;
        if (isUsual && !changed) continue;
        reports[name] = Math.round(Math.exp(figure) * reportScale);
        entry.reported = figure;
        entry.reportedMs = nowMs;
        count += 1;
      }
      return count > 0 ? reports : undefined;
    },
    applyReports({ speeds = {}, prompts: told = {} }): void {
      prompts.applyReports(told);
      for (const [name, { updatedMs }] of peers) {
        if (performance.now() - updatedMs <= expiryMs) break;
        peers.delete(name);
      }
      for (const [name, figure] of Object.entries(speeds)) {
        if (typeof figure !== "number" || !(figure > 0)) continue;
        const known = peers.get(name) ?? createEvidence();
        addSample(
          known,
          fitLogarithm(Math.log(figure / reportScale), maxSlowness),
        );
        peers.delete(name);
        peers.set(name, known);
        const entry = entries.get(name);
        if (entry) logChange(name, entry);
      }
    },
    forget(name): void {
      forget(name);
      prompts.forget(name);
    },
    countSlow(): number {
      let count = 0;
      for (const name of new Set([...entries.keys(), ...peers.keys()])) {
        if (getLearnt(name) >= Math.log(slowFrom)) count += 1;
      }
      return count;
    },
  };
}

function getUsual(
  pool: Pool,
  kind: string,
): { mean: number; samples: number } {
  const known = pool.usual.get(kind);
  if (known) return known;
  const created = { mean: 0, samples: 0 };
  pool.usual.set(kind, created);
  return created;
}

/** Logarithm of a positive figure, within the bounds of slowness. */
function convertFactor(figure: number): number {
  return fitLogarithm(Math.log(Math.max(figure, 1 / maxSlowness)), maxSlowness);
}

/** Limits a logarithm to a factor and its inverse. */
function fitLogarithm(logarithm: number, factor: number): number {
  const bound = Math.log(factor);
  return Math.min(Math.max(logarithm, -bound), bound);
}

function formatSlowness(logarithm: number): number {
  return Math.round(Math.exp(logarithm) * reportScale) / reportScale;
}
