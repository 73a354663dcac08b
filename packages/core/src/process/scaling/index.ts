/** How many endpoints a service needs, and orders for them. */
export { chooseRegular, chooseTotal } from "./choose_total.ts";
export {
  chooseUse,
  estimateNeed,
  type NeedOptions,
  type ServiceSample,
} from "./estimate_need.ts";
export { scalingEvents } from "./events.ts";
export { createScaler, type Scaler, type ScalerOptions } from "./keep_scale.ts";
export {
  countLeastRegular,
  countWithLoss,
  type DomainEndpoints,
  planEndpoints,
  type PlannedEndpoints,
  type PlanOptions,
} from "./plan_endpoints.ts";
