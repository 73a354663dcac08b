/** Measures how long a service's endpoints take to answer the calls of each route, so that a slow service can be told from a slow endpoint. */
import type { EndpointName, ServiceName } from "../../types/index.ts";

/** Calls whose answers take similarly long. */
export interface TimedWork {
  readonly service: ServiceName;
  /** Name of the calls' route. */
  readonly route: string;
}

/** How long an endpoint took for a whole answer. */
export interface AnswerTime {
  readonly endpoint: EndpointName;
  readonly tookMs: number;
}

/** Answer times that this instance has measured. */
export interface UsualTimes {
  /** Records the time of a whole answer. */
  readonly record: (work: TimedWork, time: AnswerTime) => void;
  /**
   * Time within which nine in ten of the last answers came, in ms, without those
   * of the endpoint `except`, which is no measure of itself; undefined if too
   * few are known.
   */
  readonly getUsualMs: (
    work: TimedWork,
    options: { readonly except: EndpointName },
  ) => number | undefined;
}

/** Share of the answers that come within the usual time. */
const usualShare = 0.9;
/** Answers that count: few enough that a tenth of them shows a change within about two seconds of three calls a second. */
const maxSamples = 20;
/** Answers below which nothing is said: two may be of two kinds of work. */
const minSamples = 3;
/** Time for which an answer counts, in ms. */
const sampleAgeMs = 15_000;

interface Sample extends AnswerTime {
  readonly atMs: number;
}

/** Creates a record without answers. */
export function createUsualTimes(): UsualTimes {
  /** Last answers by service and route, oldest first. */
  const services = new Map<ServiceName, Map<string, Sample[]>>();

  return {
    record({ service, route }, { endpoint, tookMs }): void {
      const routes = services.get(service) ?? new Map<string, Sample[]>();
      services.set(service, routes);
      const samples = routes.get(route) ?? [];
      routes.set(route, samples);
      samples.push({ endpoint, tookMs, atMs: performance.now() });
      if (samples.length > maxSamples) samples.shift();
    },
    getUsualMs({ service, route }, { except }): number | undefined {
      const oldestMs = performance.now() - sampleAgeMs;
      const times = (services.get(service)?.get(route) ?? [])
        .filter(({ endpoint, atMs }) => endpoint !== except && atMs >= oldestMs)
        .map(({ tookMs }) => tookMs)
        .toSorted((left, right) => left - right);
      if (times.length < minSamples) return undefined;
      return times[Math.floor((times.length - 1) * usualShare)];
    },
  };
}
