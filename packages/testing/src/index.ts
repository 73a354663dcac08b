/** Support for tests: snapshots, a paused clock, waiting for a condition. */
export {
  closeSnapshots,
  expectSnapshot,
  type SnapshotPlace,
} from "./snapshots.ts";
export { pauseClock, type PausedClock, pausedClockStartMs } from "./clock.ts";
export { waitUntil } from "./wait.ts";
export {
  expectSchemaPage,
  type PageSchema,
  renderSchemaTable,
} from "./schema_page.ts";
export { createMutants, type FuzzOptions, getFuzzOptions } from "./mutants.ts";
