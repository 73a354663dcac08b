/** Random actions of the fault experiment. */
import type { Bundle } from "@trefoildoor/core";
import type { Fleet, FleetInstance } from "../../fleet/index.ts";
import {
  buildNextBundle,
  type FaultWorld,
  sendBooking,
} from "../../integration/fault_world.ts";
import { Outage } from "../../shared/index.ts";

const longestFaultMs = 4_000;
const maxAway = 1;

/** One run of the experiment. */
export interface FaultRun {
  readonly world: FaultWorld;
  readonly fleet: Fleet;
  readonly random: () => number;
  /** Newest published bundle. */
  bundle: Bundle;
  /** Requests and recoveries under way. */
  readonly pending: Promise<unknown>[];
  readonly suspended: Set<FleetInstance>;
  faults: number;
  bundles: number;
  starts: number;
  keys: number;
}

/** An action; it returns before its effects end. */
export type FaultAction = (run: FaultRun) => Promise<void> | void;

/** All actions; frequent ones stand in the list more than once. */
export function listActions(): readonly FaultAction[] {
  return [
    sendNewBooking,
    sendNewBooking,
    sendNewBooking,
    retryBooking,
    retryBooking,
    retryBooking,
    replaceInstance,
    pauseInstance,
    breakLogAnswers,
    breakLog,
    breakLogLink,
    breakDeskAnswers,
    crashEngine,
    sendBundle,
  ];
}

/** An instance that runs and is not suspended. */
export function pickRunning(run: FaultRun): FleetInstance | undefined {
  const running = run.fleet.listInstances().filter((instance) =>
    instance.isRunning() && !run.suspended.has(instance)
  );
  return running[Math.floor(run.random() * running.length)];
}

/** Ends all faults. */
export function stopFaults(run: FaultRun): void {
  for (const instance of run.fleet.listInstances()) {
    instance.resume();
    instance.logRelay.clear();
    instance.logRelay.cutAll();
  }
  const { log, services } = run.fleet;
  log.faults.outage = Outage.None;
  log.faults.loseAnswers = 0;
  for (const { standin } of services) standin.faults.loseAnswers = 0;
}

function sendNewBooking(run: FaultRun): void {
  run.keys++;
  sendKey(run, `k${run.keys}`);
}

function retryBooking(run: FaultRun): void {
  if (run.keys === 0) return;
  sendKey(run, `k${1 + Math.floor(run.random() * run.keys)}`);
}

function sendKey(run: FaultRun, key: string): void {
  const instance = pickRunning(run);
  if (instance) run.pending.push(sendBooking(run.world, instance, { key }));
}

async function replaceInstance(run: FaultRun): Promise<void> {
  const instance = pickRunning(run);
  if (!instance) return;
  run.faults++;
  await run.fleet.killInstance(instance);
  await run.fleet.startInstance(`n${++run.starts}`);
}

function pauseInstance(run: FaultRun): void {
  const instance = pickRunning(run);
  if (!instance || run.suspended.size >= maxAway) return;
  run.faults++;
  instance.pause();
  run.suspended.add(instance);
  runLater(run, () => {
    run.suspended.delete(instance);
    if (instance.isRunning()) instance.resume();
  });
}

function breakLogAnswers(run: FaultRun): void {
  run.faults++;
  run.fleet.log.faults.matches = (method) => method === "POST";
  run.fleet.log.faults.loseAnswers = 3;
}

function breakLog(run: FaultRun): void {
  const { faults } = run.fleet.log;
  run.faults++;
  faults.matches = () => true;
  faults.outage = run.random() < 0.5 ? Outage.Refuse : Outage.Hang;
  runLater(run, () => {
    faults.outage = Outage.None;
  });
}

function breakLogLink(run: FaultRun): void {
  const instance = pickRunning(run);
  if (!instance) return;
  run.faults++;
  instance.logRelay.setFaults({ blackhole: true });
  runLater(run, () => {
    instance.logRelay.clear();
    instance.logRelay.cutAll();
  });
}

function breakDeskAnswers(run: FaultRun): void {
  run.faults++;
  for (const { standin } of run.fleet.services) {
    standin.faults.matches = (method) => method === "POST";
    standin.faults.loseAnswers = 1;
  }
}

async function crashEngine(run: FaultRun): Promise<void> {
  run.faults++;
  const engine = run.fleet.engines[Math.floor(run.random() * 2)];
  await engine?.standin.crash();
  await engine?.standin.restart();
}

function sendBundle(run: FaultRun): void {
  run.bundles++;
  run.bundle = buildNextBundle(run.bundle, `v${run.bundles}`);
  run.fleet.publishBundle(run.bundle);
}

function runLater(run: FaultRun, action: () => void): void {
  const ms = run.random() * longestFaultMs;
  run.pending.push(
    new Promise<void>((resolve) => setTimeout(resolve, ms)).then(action),
  );
}
