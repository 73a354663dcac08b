/** The policies by name. */
import { EngineRole, type PlanRoles } from "@trefoildoor/core";
import {
  createOraclePlan,
  listFirstRoles,
  type OracleOptions,
  planSchedule,
} from "./oracle.ts";
import type { Policy } from "./policy.ts";
import { createLeastReported, createRoundRobin } from "./routers.ts";
import { createThresholdRule } from "./threshold.ts";
import { measureYields } from "./yields.ts";
import { createOpenAdmission } from "./open_admission.ts";

export { buildPolicy, type Policy } from "./policy.ts";

/** The decisions that the daemon runs. */
export const ownPolicy: Policy = {
  name: "trefoildoor",
  describe: "the daemon's routing, admission and planner",
};

/** The oracle that may change roles. */
export const oraclePolicy = createOracle("oracle", { changes: true });

/** The best roles that never change, chosen with knowledge of the load. */
export const staticOraclePolicy = createOracle("static_oracle", {
  changes: false,
});

/** The threshold rule with the daemon's routing and admission. */
export const thresholdPolicy: Policy = {
  name: "threshold_rule",
  describe: "roles follow the prompts' share of the recent work",
  createPlan: () => createThresholdRule(),
};

/** All policies. */
export const policies: readonly Policy[] = [
  ownPolicy,
  {
    name: "static_roles",
    describe: "the bundle's roles, never changed",
    createPlan: () => planNothing,
  },
  thresholdPolicy,
  {
    name: "all_mixed",
    describe: "every engine mixed, never changed",
    createPlan: () => planNothing,
    chooseRoles: (shape) => shape.roles.map(() => EngineRole.Mixed),
  },
  {
    name: "round_robin",
    describe: "engines in turn, the rest as the daemon",
    createRouter: createRoundRobin,
  },
  {
    name: "least_reported",
    describe: "the engine with the least reported load, the rest as the daemon",
    createRouter: createLeastReported,
  },
  {
    name: "open_admission",
    describe: "every request is sent at once, the rest as the daemon",
    createAdmission: createOpenAdmission,
  },
  staticOraclePolicy,
  oraclePolicy,
];

/** Finds policies by names with commas between; all without a name. */
export function findPolicies(
  name: string | undefined,
  fallback: readonly Policy[] = policies,
): readonly Policy[] {
  if (name === undefined) return fallback;
  return name.split(",").map((each) => {
    const found = policies.find((policy) => policy.name === each);
    if (found) return found;
    const known = policies.map((policy) => policy.name).join(", ");
    throw new Error(`Policy "${each}" is not known; there are ${known}`);
  });
}

function planNothing(): undefined {
  return undefined;
}

/** An oracle that measures what each set of roles yields before it plans. */
function createOracle(
  name: string,
  options: Pick<OracleOptions, "changes">,
): Policy {
  const describe = options.changes
    ? "knows the mix ahead and what each set of roles yields"
    : "the best unchanged roles, with knowledge of the mix";
  return {
    name,
    describe,
    prepare: async (shape) => {
      const yields = await measureYields(shape);
      const knowledge = { ...options, yields };
      return {
        name,
        describe,
        createPlan: (fleet, load): PlanRoles =>
          createOraclePlan(planSchedule(fleet, load, knowledge)),
        chooseRoles: (fleet, load) =>
          listFirstRoles(planSchedule(fleet, load, knowledge)),
      };
    },
  };
}
