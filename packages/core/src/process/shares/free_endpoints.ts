/** Whether a service has so many places left that no call is refused for a share. */
import type { ServiceName } from "../../types/index.ts";
import type { EndpointList, EndpointTracker } from "../fleet/index.ts";

/** Share of an endpoint's places, and of a service's endpoints, below which room is not what calls lack. */
const freeShare = 0.5;

/** Whether most endpoints of the service that answer have half of their places left and no prompt to compute. */
export function hasFreeEndpoints(
  service: ServiceName,
  { endpoints, endpointTracker }: {
    readonly endpoints: Pick<EndpointList, "listAccepting">;
    readonly endpointTracker: Pick<EndpointTracker, "getLoad" | "isSuspended">;
  },
): boolean {
  const answering = endpoints.listAccepting(service).filter(({ name }) =>
    !endpointTracker.isSuspended(name)
  );
  const free = answering.filter(({ name, slots }) => {
    const { calls, readTokens, lateTokens } = endpointTracker.getLoad(name);
    return calls < slots * freeShare && readTokens + lateTokens <= 0;
  });
  return free.length > answering.length * freeShare;
}
