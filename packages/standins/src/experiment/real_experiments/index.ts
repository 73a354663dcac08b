/** Experiments with real processes and the daemons' own decisions. */
export { bothWays } from "./both_ways.ts";
export { engineLoss } from "./engine_loss.ts";
export { poison } from "./poison.ts";
export { retryStorm } from "./retry_storm.ts";
export { bundleInForce } from "./bundle_in_force.ts";
