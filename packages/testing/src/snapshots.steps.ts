/** Hooks that give every scenario its snapshots and report unused ones. */
import process from "node:process";
import {
  AfterAll,
  Before,
  type ITestCaseHookParameter,
} from "@cucumber/cucumber";
import { closeSnapshots, expectSnapshot } from "./snapshots.ts";

/** What a scenario's `this` offers to its steps. */
interface SnapshotWorld {
  matchSnapshot?: (received: unknown) => void;
}

Before(function (this: SnapshotWorld, hook: ITestCaseHookParameter): void {
  const place = {
    featurePath: hook.pickle.uri,
    name: hook.pickle.name,
  };
  this.matchSnapshot = (received: unknown): void =>
    expectSnapshot(received, place);
});

AfterAll(function (): void {
  const unused = closeSnapshots();
  if (unused.length === 0 || !process.env.CHECK_UNUSED_SNAPSHOTS) return;
  throw new Error(`Unused snapshots:\n${unused.join("\n")}`);
});
