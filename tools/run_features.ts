/**
 * Runs the features given as arguments and prints their outcomes as the last
 * line: `outcomes ` and a JSON object with the names of scenarios.
 */
import process from "node:process";
import { loadConfiguration, runCucumber } from "@cucumber/cucumber/api";
import type { Envelope } from "@cucumber/messages";
import type { Outcomes } from "./outcomes.ts";

/** Longest message of a failed step that is kept, in characters. */
const maxReasonLength = 1_000;

async function main(): Promise<void> {
  process.env.CHECK_UNUSED_SNAPSHOTS = "1";
  const passed: string[] = [];
  const failed: string[] = [];
  const reasons: Record<string, string> = {};
  const { runConfiguration } = await loadConfiguration({
    file: "cucumber.mjs",
    profiles: ["one"],
    provided: { paths: process.argv.slice(2) },
  });
  const onMessage = createCollector({
    onEnd: (name, reason) => {
      if (reason === undefined) {
        passed.push(name);
        return;
      }
      failed.push(name);
      reasons[name] ??= reason;
    },
  });
  const { success } = await runCucumber(runConfiguration, {}, onMessage);
  const hooksFailed = !success && failed.length === 0;
  const outcomes: Outcomes = { passed, failed, reasons, hooksFailed };
  console.log(`\noutcomes ${JSON.stringify(outcomes)}`);
  // Sockets that a failed scenario left open must not keep the run alive.
  process.exit(0);
}

/** Follows the messages of a run and reports each scenario at its end. */
function createCollector(
  { onEnd }: {
    /** Called with the message of the first failed step, if there is one. */
    readonly onEnd: (name: string, reason: string | undefined) => void;
  },
): (envelope: Envelope) => void {
  const names = new Map<string, string>();
  const pickles = new Map<string, string>();
  const cases = new Map<string, string>();
  const failing = new Map<string, string>();
  return (envelope) => {
    const { pickle, testCase, testCaseStarted, testStepFinished } = envelope;
    if (pickle) names.set(pickle.id, `${pickle.uri}: ${pickle.name}`);
    if (testCase) pickles.set(testCase.id, testCase.pickleId);
    if (testCaseStarted) {
      cases.set(testCaseStarted.id, testCaseStarted.testCaseId);
    }
    if (
      testStepFinished && testStepFinished.testStepResult.status !== "PASSED"
    ) {
      const { testCaseStartedId, testStepResult } = testStepFinished;
      const { status, message = status } = testStepResult;
      if (!failing.has(testCaseStartedId)) {
        failing.set(testCaseStartedId, message.slice(0, maxReasonLength));
      }
    }
    const finished = envelope.testCaseFinished;
    if (!finished || finished.willBeRetried) return;
    const started = finished.testCaseStartedId;
    const pickleId = pickles.get(cases.get(started) ?? "") ?? "";
    onEnd(names.get(pickleId) ?? "unnamed scenario", failing.get(started));
  };
}

await main();
