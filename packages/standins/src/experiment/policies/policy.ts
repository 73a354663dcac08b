/** Policies that the bench compares: what varies is passed as functions. */
import {
  type Admission,
  chooseRoute,
  computeCapacity,
  createAdmission,
  createPlanner,
  type EndpointTable,
  type EngineRole,
  type PlanRoles,
} from "@trefoildoor/core";
import type { FleetShape } from "../bench/fleet_shape.ts";
import type { Load } from "../bench/load.ts";

/** Chooses a route; `chooseRoute` or a baseline. */
export type Router = typeof chooseRoute;

/** Creates the admission of one instance. */
export type CreateAdmission = (
  table: EndpointTable,
  instances: number,
) => Admission;

/** A policy: each part defaults to the one that the daemon runs. */
export interface Policy {
  readonly name: string;
  readonly describe: string;
  /** Measures what the policy may know of a fleet, and returns the policy that knows it. */
  readonly prepare?: (shape: FleetShape) => Promise<Policy>;
  readonly createRouter?: () => Router;
  readonly createAdmission?: CreateAdmission;
  readonly createPlan?: (shape: FleetShape, load: Load) => PlanRoles;
  /** Roles at the start; the fleet's own by default. */
  readonly chooseRoles?: (
    shape: FleetShape,
    load: Load,
  ) => readonly EngineRole[];
}

/** A policy bound to one fleet and load. */
export interface BoundPolicy {
  readonly createRouter: () => Router;
  readonly createAdmission: CreateAdmission;
  readonly plan: PlanRoles;
  readonly roles: readonly EngineRole[];
}

/** Fills the parts of a policy that it leaves to the daemon's decisions. */
export function buildPolicy(
  policy: Policy,
  run: { readonly shape: FleetShape; readonly load: Load },
): BoundPolicy {
  const { shape, load } = run;
  const createPlan = policy.createPlan ?? ((): PlanRoles => createPlanner());
  return {
    createRouter: policy.createRouter ?? ((): Router => chooseRoute),
    createAdmission: policy.createAdmission ?? createDaemonAdmission,
    plan: createPlan(shape, load),
    roles: policy.chooseRoles?.(shape, load) ?? shape.roles,
  };
}

function createDaemonAdmission(
  table: EndpointTable,
  instances: number,
): Admission {
  return createAdmission({
    getCapacity: (own) => computeCapacity(table, { instances, own }),
  });
}
