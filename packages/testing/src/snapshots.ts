/**
 * Snapshots of test results, kept in `__snapshots__` beside each feature file.
 *
 * A snapshot is written only when `UPDATE_SNAPSHOTS` is set; otherwise a
 * missing snapshot fails the step, and an unused one fails the full run.
 */
import { basename, dirname, join } from "node:path";
import process from "node:process";
import { SnapshotState } from "jest-snapshot";

const states = new Map<string, SnapshotState>();

/** Where a snapshot belongs: the feature file and the name of the entry. */
export interface SnapshotPlace {
  /** Path of the feature file. */
  readonly featurePath: string;
  /** Name of the scenario, and of the step where one scenario has several. */
  readonly name: string;
}

/** Compares a value with its stored snapshot and throws when they differ. */
export function expectSnapshot(received: unknown, place: SnapshotPlace): void {
  const state = openState(place.featurePath);
  const result = state.match({
    testName: place.name,
    received,
    isInline: false,
    testFailing: false,
  });
  if (result.pass) return;
  throw new Error(
    `Snapshot "${place.name} ${result.count}" does not match\nexpected: ${
      result.expected ?? "(missing)"
    }\nreceived: ${result.actual}`,
  );
}

/** Writes changed snapshots back and returns the names of unused entries. */
export function closeSnapshots(): readonly string[] {
  const unused: string[] = [];
  for (const [path, state] of states) {
    if (isUpdating()) state.removeUncheckedKeys();
    else {unused.push(
        ...state.getUncheckedKeys().map((key) => `${path}: ${key}`),
      );}
    state.save();
  }
  states.clear();
  return unused;
}

function openState(featurePath: string): SnapshotState {
  const path = join(
    dirname(featurePath),
    "__snapshots__",
    `${basename(featurePath)}.snap`,
  );
  const known = states.get(path);
  if (known) return known;
  const state = new SnapshotState(path, {
    updateSnapshot: isUpdating() ? "all" : "none",
    snapshotFormat: { escapeString: false, printBasicPrototype: false },
    rootDir: process.cwd(),
    expand: false,
  });
  states.set(path, state);
  return state;
}

function isUpdating(): boolean {
  return Boolean(process.env.UPDATE_SNAPSHOTS);
}
