/** Steps of `routes.feature`. */
import { strict as assert } from "node:assert";
import { Given, Then } from "@cucumber/cucumber";
import { CallKind, type ForwardRoute } from "../../types/index.ts";
import { buildRouteIndex, type RouteIndex } from "./index.ts";

/** State of one scenario. */
interface RoutesWorld {
  index: RouteIndex;
}

function buildRoute(change: Partial<ForwardRoute>): ForwardRoute {
  return {
    name: "route",
    host: "one.example",
    pathPrefix: "/a/",
    kind: CallKind.Idempotent,
    resumable: false,
    timeoutMs: 1_000,
    goalMs: 100,
    maxEndpoints: 2,
    rank: 0,
    targets: [{ service: "desk", weight: 1 }],
    ...change,
  };
}

function buildIndex(routes: readonly ForwardRoute[]): RouteIndex {
  return buildRouteIndex({
    version: 1,
    routes,
    services: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  });
}

Given(
  "routes {string} to {string} and {string} to {string} on host {string}",
  function (
    this: RoutesWorld,
    first: string,
    firstName: string,
    second: string,
    secondName: string,
    host: string,
  ): void {
    this.index = buildIndex([
      buildRoute({ pathPrefix: first, name: firstName, host }),
      buildRoute({ pathPrefix: second, name: secondName, host }),
    ]);
  },
);

Then(
  "host {string} and path {string} find route {string}",
  function (
    this: RoutesWorld,
    host: string,
    path: string,
    route: string,
  ): void {
    assert.equal(this.index.findRoute(host, path)?.name ?? "", route);
  },
);

Then(
  "of {int} evenly spread draws over weights {int} and {int} the first service takes {int}",
  function (
    this: RoutesWorld,
    draws: number,
    first: number,
    second: number,
    expected: number,
  ): void {
    const route = buildRoute({
      targets: [
        { service: "first", weight: first },
        { service: "second", weight: second },
      ],
    });
    const taken = Array.from(
      { length: draws },
      (_, draw) => this.index.pickService(route, draw / draws),
    ).filter((service) => service === "first");
    assert.equal(taken.length, expected);
  },
);
