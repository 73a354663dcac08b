/** What calls to endpoints reveal beside their answers. */
import type { LoadReport } from "../../types/endpoints.ts";
import type { EndpointName } from "../../types/names.ts";

/** Listeners for what calls reveal; each is called as soon as it is known. */
export interface EndpointListeners {
  /** A load report arrived, alone or with another answer. */
  readonly onLoad?: (endpoint: EndpointName, report: LoadReport) => void;
  /** The endpoint refused work because it is leaving. */
  readonly onLeaving?: (endpoint: EndpointName) => void;
  /** Bytes arrived, which proves that endpoint and connection are alive. */
  readonly onAlive?: (endpoint: EndpointName) => void;
}
