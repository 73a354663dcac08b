/** Fleets of both users at their sizes of today. */
import { ExampleFleet } from "@trefoildoor/core";

/** What a fleet consists of beside what its bundle states. */
export interface FleetPreset {
  readonly fleet: ExampleFleet;
  /** Entry instances. */
  readonly instances: number;
  /** One-way delay between clients and their failure domain, in ms. */
  readonly clientDelayMs: number;
}

/** Presets by fleet. */
export const fleetPresets: Readonly<Record<ExampleFleet, FleetPreset>> = {
  [ExampleFleet.Calderas]: {
    fleet: ExampleFleet.Calderas,
    instances: 7,
    clientDelayMs: 1,
  },
  [ExampleFleet.Association]: {
    fleet: ExampleFleet.Association,
    instances: 7,
    clientDelayMs: 1,
  },
};
