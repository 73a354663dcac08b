/**
 * The oracle: knows all phases of the load and what every set of roles yields
 * under each of them, and finds the best schedule of roles by dynamic
 * programming over time slots.
 */
import {
  EngineRole,
  type PlannerInput,
  type PlanRoles,
  type RoleChange,
  type RoleCounts,
} from "@trefoildoor/core";
import type { FleetShape } from "../bench/fleet_shape.ts";
import type { Load, Phase } from "../bench/load.ts";
import { buildRoles } from "../bench/fleet_shape.ts";
import { listRoleSets, type RoleYields } from "./yields.ts";

/** Freedom of the schedule. */
export interface OracleOptions {
  /** Whether roles may change after the start. */
  readonly changes: boolean;
  /** Useful answers per second of each set of roles under each mix. */
  readonly yields: RoleYields;
}

/** A schedule: the roles that hold in each slot. */
export interface Schedule {
  readonly slots: readonly RoleCounts[];
}

/** Length of a slot: the time that one change takes an engine away, in ms. */
const slotMs = 15_000;
const msPerSecond = 1_000;
/** Answers that a change must gain, so that equal schedules differ. */
const changeCost = 0.5;

interface Step {
  readonly value: number;
  readonly previous: number;
}

/** Finds the schedule that serves most of the load in the fluid model. */
export function planSchedule(
  shape: FleetShape,
  load: Load,
  options: OracleOptions,
): Schedule {
  const states = listRoleSets(shape.roles.length);
  const phases = listSlots(load);
  const steps: Step[][] = [];
  for (const [slot, phase] of phases.entries()) {
    const before = steps[slot - 1];
    const getAnswers = (counts: RoleCounts): number =>
      options.yields(phase, counts) * slotMs / msPerSecond;
    steps.push(states.map((state, index) => {
      const staying = getAnswers(state);
      if (!before) return { value: staying, previous: index };
      const choices = states.map((from, previous) => ({
        previous,
        value: (before[previous]?.value ?? -Infinity) +
          (previous === index
            ? staying
            : options.changes && isOneChange(from, state)
            ? getAnswers(pickCommon(from, state)) -
              changeCost
            : -Infinity),
      }));
      return choices.reduce((best, each) =>
        each.value > best.value ? each : best
      );
    }));
  }
  return { slots: readBack(states, steps) };
}

/** Roles at the schedule's start. */
export function listFirstRoles(schedule: Schedule): readonly EngineRole[] {
  const [first] = schedule.slots;
  if (!first) throw new Error("The schedule is empty");
  return buildRoles({
    prefill: first[EngineRole.Prefill],
    mixed: first[EngineRole.Mixed],
    decode: first[EngineRole.Decode],
  });
}

/** Plans changes along the schedule, each one slot ahead. */
export function createOraclePlan(schedule: Schedule): PlanRoles {
  const startMs = performance.now();
  return (input: PlannerInput): RoleChange | undefined => {
    if (input.engines.some((engine) => !engine.ready)) return undefined;
    const slot = Math.floor((input.nowMs - startMs) / slotMs);
    const wanted = schedule.slots[slot] ?? schedule.slots.at(-1);
    if (!wanted) return undefined;
    return planTowards(input, wanted);
  };
}

function planTowards(
  input: PlannerInput,
  wanted: RoleCounts,
): RoleChange | undefined {
  const surplus = Object.values(EngineRole).map((role) => ({
    role,
    count: input.engines.filter((engine) => engine.role === role).length -
      wanted[role],
  }));
  const from = surplus.find((entry) => entry.count > 0);
  const to = surplus.find((entry) => entry.count < 0);
  if (!from || !to) return undefined;
  const engine = input.engines.filter((each) => each.role === from.role)
    .toSorted((left, right) =>
      (left.report?.running ?? 0) - (right.report?.running ?? 0)
    )[0];
  return engine && { engine: engine.name, role: to.role, gain: 0 };
}

/** Phase of each slot: the one that holds in its middle. */
function listSlots(load: Load): readonly Phase[] {
  const endMs = load.phases.at(-1)?.toMs ?? 0;
  const phases: Phase[] = [];
  for (let atMs = slotMs / 2; atMs < endMs; atMs += slotMs) {
    const phase = load.phases.find((each) => atMs < each.toMs);
    if (phase) phases.push(phase);
  }
  return phases;
}

function isOneChange(from: RoleCounts, to: RoleCounts): boolean {
  const moved = Object.values(EngineRole).map((role) => to[role] - from[role]);
  return moved.filter((count) => count === 1).length === 1 &&
    moved.filter((count) => count === -1).length === 1;
}

/** Engines that work in both states; the changing one is away. */
function pickCommon(from: RoleCounts, to: RoleCounts): RoleCounts {
  return {
    [EngineRole.Prefill]: Math.min(
      from[EngineRole.Prefill],
      to[EngineRole.Prefill],
    ),
    [EngineRole.Decode]: Math.min(
      from[EngineRole.Decode],
      to[EngineRole.Decode],
    ),
    [EngineRole.Mixed]: Math.min(from[EngineRole.Mixed], to[EngineRole.Mixed]),
  };
}

function readBack(
  states: readonly RoleCounts[],
  steps: readonly (readonly Step[])[],
): readonly RoleCounts[] {
  const last = steps.at(-1) ?? [];
  let index = last.reduce(
    (best, step, at) =>
      step.value > (last[best]?.value ?? -Infinity) ? at : best,
    0,
  );
  const slots: RoleCounts[] = [];
  for (const step of steps.toReversed()) {
    const state = states[index];
    if (state) slots.unshift(state);
    index = step[index]?.previous ?? index;
  }
  return slots;
}
