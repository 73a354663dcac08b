/** A whole fleet on loopback for tests, tools and the demo. */
export {
  type Fleet,
  type FleetInstance,
  type FleetOptions,
  type RelayedEndpoint,
  startFleet,
} from "./fleet.ts";
export {
  type InstanceLogLine,
  type InstanceProcess,
  startInstanceProcess,
} from "./instance_process.ts";
export { type FleetPreset, fleetPresets } from "./presets.ts";
