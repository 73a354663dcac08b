/** Simple routers to compare with. */
import {
  type EndpointTable,
  EngineRole,
  type EngineView,
  Outcome,
  type Refusal,
  RefusalReason,
  type Route,
  type RouteOptions,
  type RouteRequest,
} from "@trefoildoor/core";
import { type Either, Left, Right } from "purify-ts";
import type { Router } from "./policy.ts";

type PickView = (
  views: readonly EngineView[],
  rank: number,
) => EngineView | undefined;

/** Creates a router that takes engines in turn. */
export function createRoundRobin(): Router {
  let turn = 0;
  return (request, table, options) => {
    turn += 1;
    return buildRoute(
      (views) => views[turn % views.length],
      { request, table, options },
    );
  };
}

/** Creates a router that takes the engine with the least reported load. */
export function createLeastReported(): Router {
  return (request, table, options) =>
    buildRoute(pickLeastReported, { request, table, options });
}

function pickLeastReported(
  views: readonly EngineView[],
): EngineView | undefined {
  return views.toSorted((left, right) => getLoad(left) - getLoad(right))[0];
}

function getLoad(view: EngineView): number {
  return (view.report?.running ?? 0) + (view.report?.queued ?? 0);
}

function buildRoute(
  pick: PickView,
  choice: {
    readonly request: RouteRequest;
    readonly table: EndpointTable;
    readonly options: RouteOptions;
  },
): Either<Refusal, Route> {
  const usable = choice.table.listViews().filter((view) =>
    view.usable && !choice.options.exclude?.has(view.engine)
  );
  const prefill = usable.filter((view) => view.role === EngineRole.Prefill);
  const generating = usable.filter((view) => view.role !== EngineRole.Prefill);
  const mixed = usable.filter((view) => view.role === EngineRole.Mixed);
  const engine = pick(generating, 0);
  const computing = prefill.length > 0 ? prefill : mixed;
  const needsSplit = prefill.length > 0 || engine?.role === EngineRole.Decode;
  const other = needsSplit ? pick(computing, 1) : undefined;
  if (!engine || (needsSplit && !other)) return Left(refuseRoute());
  return Right({
    engine: engine.engine,
    prefillOn: other?.engine,
    expectedFirstTokenMs: 0,
    expectedTokenMs: 0,
    cachedTokens: 0,
  });
}

function refuseRoute(): Refusal {
  return {
    reason: RefusalReason.NoEndpoint,
    outcome: Outcome.NotRun,
    message: "No engine takes work",
  };
}
