/** Decides how many engines of a pool only compute prompts, and which change. */
import { EngineRole, type ListedEndpoint } from "../../types/index.ts";
import type { EndpointBoard } from "./endpoint_board.ts";

/** A role change that is wanted. */
export interface PlannedRole {
  readonly endpoint: ListedEndpoint;
  readonly role: EngineRole;
}

/** What a plan is made from. */
export interface RolePlanInput {
  /** Engines of the pool that take work and are in no change. */
  readonly engines: readonly ListedEndpoint[];
  /** Engines in a change, by the role that they change to. */
  readonly changing: readonly PlannedRole[];
  /** Share of the engines that compute prompts only. */
  readonly prefillShare: number;
  readonly board: EndpointBoard;
}

/** Engines that must generate in any pool that has as many to spare: one alone would take every stream with it. */
const leastGenerating = 2;
/** Engines of a pool that keeps to that. */
const smallestSparePool = 4;

/** Lists the changes that bring the pool to its share; the least loaded engines change. */
export function planRoles(input: RolePlanInput): readonly PlannedRole[] {
  const { engines, changing, board } = input;
  const total = engines.length + changing.length;
  if (total < 2) return [];
  const wanted = Math.min(
    Math.max(Math.round(total * input.prefillShare), 1),
    total - (total >= smallestSparePool ? leastGenerating : 1),
  );
  const having = countRole(engines, EngineRole.Prefill) +
    changing.filter(({ role }) => role === EngineRole.Prefill).length;
  const missing = wanted - having;
  if (missing === 0) return [];
  const role = missing > 0 ? EngineRole.Prefill : EngineRole.Decode;
  return engines
    .filter((engine) => engine.role !== undefined && engine.role !== role)
    .toSorted((left, right) =>
      board.getLoad(left.name).calls - board.getLoad(right.name).calls ||
      (left.name < right.name ? -1 : 1)
    )
    .slice(0, Math.abs(missing))
    .map((endpoint) => ({ endpoint, role }));
}

function countRole(
  engines: readonly ListedEndpoint[],
  role: EngineRole,
): number {
  return engines.filter((engine) => engine.role === role).length;
}
