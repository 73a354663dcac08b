/** Plans how many engines of a pool have the prefill role, and which engines change theirs. */
import {
  type EndpointName,
  EngineRole,
  type ListedEndpoint,
} from "../../types/index.ts";
import type { EndpointTracker } from "./endpoint_tracker.ts";

/** A planned role change of one engine. */
export interface PlannedRole {
  readonly endpoint: ListedEndpoint;
  readonly role: EngineRole;
}

/** State and target of one pool. */
export interface RolePlanInput {
  /** Engines of the pool that accept work and are not changing their role. */
  readonly engines: readonly ListedEndpoint[];
  /** Engines that are changing their role, with the new role. */
  readonly changing: readonly PlannedRole[];
  /** Share of the pool's engines that should have the prefill role, from 0 to 1. */
  readonly prefillShare: number;
  readonly endpointTracker: EndpointTracker;
  /** Whether an engine takes only so many requests a second at present. */
  readonly isLimited: (engine: EndpointName) => boolean;
}

/** Minimum of decode engines in a pool of at least `minPoolWithSpare`: the loss of a single one would break every stream. */
const minDecodeEngines = 2;
/** Smallest pool that keeps `minDecodeEngines`; smaller pools keep one decode engine. */
const minPoolWithSpare = 4;

/**
 * Lists the role changes that bring the pool to its prefill share, engines with
 * the fewest calls first; none for a pool of less than two. Engines of each
 * software version are planned by themselves, as prompts do not pass between
 * versions: a prefill engine without a decode engine of its version is of no use.
 */
export function planRoles(input: RolePlanInput): readonly PlannedRole[] {
  // Engines that limit their requests keep their role and count for nothing.
  const unlimited = input.engines.filter(({ name }) => !input.isLimited(name));
  const engines = unlimited.length < 2 ? input.engines : unlimited;
  if (engines.length + input.changing.length < 2) return [];
  const versions = new Set(
    [...engines, ...input.changing.map(({ endpoint }) => endpoint)]
      .map(({ softwareVersion }) => softwareVersion),
  );
  return [...versions].flatMap((version) =>
    planVersion({
      ...input,
      engines: engines.filter(({ softwareVersion }) =>
        softwareVersion === version
      ),
      changing: input.changing.filter(({ endpoint }) =>
        endpoint.softwareVersion === version
      ),
    })
  );
}

/** Plans the engines of one software version. */
function planVersion(
  { engines, changing, prefillShare, endpointTracker }: RolePlanInput,
): readonly PlannedRole[] {
  const total = engines.length + changing.length;
  const decodeEngines = total >= minPoolWithSpare ? minDecodeEngines : 1;
  const targetPrefill = Math.min(
    Math.max(Math.round(total * prefillShare), 1),
    total - decodeEngines,
  );
  const currentPrefill = countRole(engines, EngineRole.Prefill) +
    changing.filter(({ role }) => role === EngineRole.Prefill).length;
  const shortfall = targetPrefill - currentPrefill;
  if (shortfall === 0) return [];
  const role = shortfall > 0 ? EngineRole.Prefill : EngineRole.Decode;
  return engines
    .filter((engine) => engine.role !== undefined && engine.role !== role)
    .toSorted((left, right) =>
      endpointTracker.getLoad(left.name).calls -
        endpointTracker.getLoad(right.name).calls ||
      (left.name < right.name ? -1 : 1)
    )
    .slice(0, Math.abs(shortfall))
    .map((endpoint) => ({ endpoint, role }));
}

function countRole(
  engines: readonly ListedEndpoint[],
  role: EngineRole,
): number {
  return engines.filter((engine) => engine.role === role).length;
}
