/** The main job on a whole fleet: rollout, completions, bookings and a planned stop. */
import { ExampleFleet } from "@trefoildoor/core";
import { type Fleet, startFleet } from "../fleet/index.ts";
import {
  CallEnd,
  type LoadReportSummary,
  MixName,
  runLoad,
} from "../load/index.ts";
import { renderSummary } from "./summary.ts";
import { waitForVersion } from "./versions.ts";

/** Settings of the demo. */
export interface DemoOptions {
  readonly keep: boolean;
  readonly seconds: number;
  readonly seed: number;
  readonly print: (line: string) => void;
}

const requestsPerSecond = 25;
const bookingShare = 0.2;
const progressEvery = 50;
const msPerSecond = 1_000;

/** Runs the demo and prints what happened; resolves to whether all went well. */
export async function runDemo(options: DemoOptions): Promise<boolean> {
  const { print } = options;
  print(
    "Starting 8 engines, 3 booking desks and 7 entry instances in three failure domains",
  );
  const fleet = await startFleet({ fleet: ExampleFleet.Association });
  const first = await waitForVersion(fleet, fleet.bundle.version);
  print(
    `Bundle version ${fleet.bundle.version} is in force on ${first.length} instances`,
  );
  print(
    `Sending ${requestsPerSecond} requests a second for ${options.seconds} s`,
  );
  const load = runLoad({
    seed: options.seed,
    requestsPerSecond,
    durationMs: options.seconds * msPerSecond,
    mix: MixName.Shifting,
    bookingShare,
    target: {
      listEntries: () =>
        fleet.listInstances().map(({ callerAddress }) => callerAddress),
      model: fleet.bundle.pools[0]?.models[0]?.model ?? "",
      service: fleet.bundle.services[0]?.name ?? "",
      apiKeys: fleet.bundle.callers.map(({ name }) => fleet.getKey(name)),
    },
    onAnswer: (count) => {
      if (count % progressEvery === 0) print(`  ${count} answers`);
    },
  });
  const next = {
    ...fleet.bundle,
    version: 2,
    parent: 1,
    note: "second version of the demo",
  };
  fleet.publishBundle(next);
  const second = await waitForVersion(fleet, next.version);
  print(
    `Bundle version ${next.version} is in force on ${second.length} instances`,
  );
  const [leaving] = fleet.listInstances();
  const exitCode = leaving && await fleet.retireInstance(leaving);
  print(
    `${leaving?.name} was retired under load and ended with exit code ${exitCode}`,
  );
  const report = await load;
  const runs = countRuns(fleet);
  print(renderSummary({ report, runs, versions: second, exitCode }));
  const isGood = isDone(report) && exitCode === 0 && runs.most <= 1;
  print(
    isGood
      ? "Every request was answered in full, every booking ran once"
      : "Something went wrong, see above",
  );
  if (options.keep) printTrial(fleet, print);
  else await fleet.close();
  return isGood;
}

/** Runs of bookings as the booking desks recorded them. */
export interface BookingRuns {
  readonly keys: number;
  /** Most runs of one key. */
  readonly most: number;
}

function countRuns(fleet: Fleet): BookingRuns {
  const counts = new Map<string, number>();
  for (const { standin } of fleet.services) {
    for (const { key } of standin.listRuns()) {
      if (key !== undefined) counts.set(key, (counts.get(key) ?? 0) + 1);
    }
  }
  return { keys: counts.size, most: Math.max(0, ...counts.values()) };
}

function isDone(report: LoadReportSummary): boolean {
  return report.requests > 0 && report.ends[CallEnd.Done] === report.requests;
}

function printTrial(fleet: Fleet, print: (line: string) => void): void {
  const [entry] = fleet.listInstances();
  const [caller] = fleet.bundle.callers;
  const model = fleet.bundle.pools[0]?.models[0]?.model;
  const body = JSON.stringify({
    model,
    prompt: "Is a 6 m tent free on Saturday",
    max_tokens: 16,
    stream: true,
  });
  print("The fleet goes on until you end this process. To try it:");
  print(
    `  curl -N http://${entry?.callerAddress}/v1/completions -H 'authorization: Bearer ${
      fleet.getKey(caller?.name ?? "")
    }' -H 'content-type: application/json' -d '${body}'`,
  );
}
