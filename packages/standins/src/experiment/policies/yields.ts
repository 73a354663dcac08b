/** What every set of roles yields under each mix, measured in the bench itself. */
import { EngineRole, type RoleCounts } from "@trefoildoor/core";
import {
  buildRoles,
  type FleetShape,
  type MixShape,
} from "../bench/fleet_shape.ts";
import { generateLoad } from "../bench/load.ts";
import { runBench } from "../bench/run.ts";

/** Useful answers per second of unchanged roles under a steady mix. */
export type RoleYields = (mix: MixShape, counts: RoleCounts) => number;

const measureMs = 90_000;
const seed = 77;
const measured = new WeakMap<FleetShape, Promise<RoleYields>>();

/** Lists sets of roles: some engines apart and the others mixed, or all apart. */
export function listRoleSets(engines: number): readonly RoleCounts[] {
  const sets: RoleCounts[] = [];
  for (let prefill = 0; prefill < engines; prefill++) {
    sets.push(buildCounts({ prefill, mixed: engines - prefill, decode: 0 }));
    if (prefill === 0) continue;
    sets.push(buildCounts({ prefill, mixed: 0, decode: engines - prefill }));
  }
  return sets;
}

/** Measures all sets of roles under both mixes of a fleet, also with one engine away. */
export function measureYields(shape: FleetShape): Promise<RoleYields> {
  const known = measured.get(shape) ?? measureAll(shape);
  measured.set(shape, known);
  return known;
}

async function measureAll(shape: FleetShape): Promise<RoleYields> {
  const known = new Map<string, number>();
  const engines = shape.roles.length;
  const sets = [...listRoleSets(engines), ...listRoleSets(engines - 1)];
  for (const mix of [shape.long, shape.short]) {
    for (const counts of sets) {
      known.set(getKey(mix, counts), await measureOne(shape, { mix, counts }));
    }
  }
  return (mix, counts) => known.get(getKey(mix, counts)) ?? 0;
}

async function measureOne(
  shape: FleetShape,
  state: { readonly mix: MixShape; readonly counts: RoleCounts },
): Promise<number> {
  const { mix, counts } = state;
  const phase = { ...mix, fromMs: 0, toMs: measureMs };
  const roles = buildRoles({
    prefill: counts[EngineRole.Prefill],
    mixed: counts[EngineRole.Mixed],
    decode: counts[EngineRole.Decode],
  });
  const figures = await runBench({
    shape,
    load: generateLoad(shape.kinds, [phase], { seed }),
    seed,
    policy: {
      name: "fixed",
      describe: "roles that are measured",
      createPlan: () => () => undefined,
      chooseRoles: () => roles,
    },
  });
  return figures.goodput;
}

function buildCounts(
  counts: {
    readonly prefill: number;
    readonly mixed: number;
    readonly decode: number;
  },
): RoleCounts {
  return {
    [EngineRole.Prefill]: counts.prefill,
    [EngineRole.Mixed]: counts.mixed,
    [EngineRole.Decode]: counts.decode,
  };
}

function getKey(mix: MixShape, counts: RoleCounts): string {
  const roles = Object.values(EngineRole).map((role) => counts[role]);
  return [mix.requestsPerSecond, ...roles].join("/");
}
