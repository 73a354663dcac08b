/** Shares of workspaces in the room of each service, over all instances. */
export { computeLevel, type DemandGroup } from "./compute_level.ts";
export { shareEvents } from "./events.ts";
export { createFairShares, type FairSharesOptions } from "./fair_shares.ts";
export { hasFreeEndpoints } from "./free_endpoints.ts";
export type {
  DemandReports,
  FairShares,
  ServiceDemand,
  SharedCall,
} from "./share_types.ts";
