/** What is learnt of endpoints, from what, and what instances tell each other of it. */
import type {
  EndpointName,
  ServiceName,
  StatedLoad,
} from "../../types/index.ts";
import type { PromptReports, PromptSpeeds } from "./prompt_speeds.ts";

/** Work that an endpoint has done. */
export interface DoneWork {
  readonly service: ServiceName;
  /** Kind of work, whose usual time is learnt: the name of a route. */
  readonly kind: string;
  /** Amount of work: the calls in its place of one slot. */
  readonly units: number;
  readonly tookMs: number;
}

/** Figures of endpoints that changed, in hundredths. */
export type SpeedReports = Readonly<Record<EndpointName, number>>;

/** An endpoint by its name and service. */
export interface EndpointKey {
  readonly name: EndpointName;
  readonly service: ServiceName;
}

/** Learnt figures of all endpoints. */
export interface Capacities {
  /** How long work takes at the endpoint in relation to the service's median; 1 where nothing is known. */
  readonly getSlowness: (endpoint: EndpointKey) => number;
  /** Speeds at which engines compute prompts. */
  readonly prompts: PromptSpeeds;
  /** Usual time of a kind of work at the service's median endpoint, in ms; undefined where nothing is known. */
  readonly getUsualMs: (
    service: ServiceName,
    kind: string,
  ) => number | undefined;
  /** Calls at the endpoint beyond the tracked ones, as far as its own figures are recent. */
  readonly countUntracked: (endpoint: EndpointName, tracked: number) => number;
  readonly recordWork: (endpoint: EndpointName, work: DoneWork) => void;
  /** Records the figures in an endpoint's answer, after its work. */
  readonly recordStated: (
    endpoint: EndpointKey,
    load: StatedLoad | undefined,
  ) => void;
  /** Figures for this instance's next digest; undefined if none is due. */
  readonly collectReports: () => SpeedReports | undefined;
  /** Applies the figures in a peer's digest. */
  readonly applyReports: (
    digest: {
      readonly speeds?: SpeedReports;
      readonly prompts?: PromptReports;
    },
  ) => void;
  /** Discards the figure of an endpoint whose process has ended. */
  readonly forget: (endpoint: EndpointName) => void;
  /** Number of endpoints held to take at least twice the time of their service's median. */
  readonly countSlow: () => number;
}
