/** Listeners for information about endpoints that calls yield beside their answers. */
import type { LoadReport } from "../../types/endpoints.ts";
import type { EndpointName } from "../../types/names.ts";

/** Listeners of the clients, and what they ask; each is called at once, also while an answer is still streaming. */
export interface EndpointListeners {
  /** A load report arrived, on its own or inside a stream of tokens. */
  readonly onLoad?: (endpoint: EndpointName, report: LoadReport) => void;
  /** A service answered; `perSecond` is the limit that it names for all instances together, if it does. */
  readonly onLimit?: (
    endpoint: EndpointName,
    perSecond: number | undefined,
  ) => void;
  /** The endpoint refused work because it is leaving. */
  readonly onLeaving?: (endpoint: EndpointName) => void;
  /** Whether a call may be written to the endpoint now; asked immediately before. */
  readonly mayWrite?: (endpoint: EndpointName) => boolean;
  /** An answer or part of one arrived, so the endpoint and the connection work. */
  readonly onAlive?: (endpoint: EndpointName) => void;
}
