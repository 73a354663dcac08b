/** Size and physical figures of the fleets that the bench knows. */
import { EngineRole, type FailureDomain } from "@trefoildoor/core";
import type { EngineFigures } from "./fake_engine.ts";
import type { RequestKind } from "./load.ts";

/** A fleet with its load. */
export interface FleetShape {
  readonly name: string;
  readonly failureDomains: readonly FailureDomain[];
  /** One-way delay between failure domains, in ms. */
  readonly delayMs: number;
  /** Role of each engine at the start. */
  readonly roles: readonly EngineRole[];
  readonly instances: number;
  readonly figures: EngineFigures;
  readonly kinds: readonly RequestKind[];
  /** Useful answers that one role change is worth. */
  readonly roleChangeWeight: number;
  /** Mixes between which the load swings. */
  readonly long: MixShape;
  readonly short: MixShape;
}

/** A mix with the rate that the fleet can about serve. */
export interface MixShape {
  readonly requestsPerSecond: number;
  readonly weights: readonly number[];
}

/** Builds a list of roles from counts. */
export function buildRoles(
  counts: {
    readonly prefill: number;
    readonly mixed: number;
    readonly decode: number;
  },
): readonly EngineRole[] {
  return [
    ...Array<EngineRole>(counts.prefill).fill(EngineRole.Prefill),
    ...Array<EngineRole>(counts.mixed).fill(EngineRole.Mixed),
    ...Array<EngineRole>(counts.decode).fill(EngineRole.Decode),
  ];
}
