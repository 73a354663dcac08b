/** Steps of `check.feature`. */
import { strict as assert } from "node:assert";
import { Then } from "@cucumber/cucumber";
import fc from "fast-check";
import { formatFinding } from "../../types/findings.ts";
import {
  CallKind,
  type ForwardRoute,
  type RoutedService,
  type RoutingConfiguration,
} from "../../types/index.ts";
import { buildRouteIndex } from "../routes/index.ts";
import {
  describeChanges,
  findFaults,
  formatConfigurationChange,
} from "./index.ts";

/** State of one scenario. */
interface CheckWorld {
  matchSnapshot: (received: unknown) => void;
}

const propertyRun = { seed: 4_107, numRuns: 1_000 };
const source = "next.json";
const scaling = {
  minEndpoints: 1,
  maxEndpoints: 3,
  bootMs: 8_000,
  reclaimablePrice: 0.3,
  domainPrices: { north: 1, south: 2 },
};

const sound: RoutingConfiguration = {
  version: 7,
  routes: [
    buildRoute({ name: "short" }),
    buildRoute({ name: "long", pathPrefix: "/a/b/" }),
    buildRoute({ name: "other", host: "two.example", anonymous: true }),
  ],
  services: [
    { name: "desk", scaling },
    {
      name: "shop",
      engines: { exportTtlMs: 5_000, roleChangeMs: 3_000 },
      scaling,
    },
  ],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_024,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 9_000,
  },
  workspaces: [
    { name: "red", keys: ["key-1", "key-2"] },
    { name: "blue", keys: ["key-3"], rank: 1 },
  ],
};

const faulty: RoutingConfiguration = {
  version: 7,
  routes: [
    buildRoute({ name: "first", anonymous: true }),
    buildRoute({
      name: "first",
      host: "One.Example",
      anonymous: true,
      timeoutMs: 0,
      kind: CallKind.AtMostOnce,
    }),
    buildRoute({
      name: "port",
      host: "one.example:80",
      pathPrefix: "a/",
      anonymous: true,
      targets: buildTargets(0, 0),
    }),
    buildRoute({
      name: "targets",
      pathPrefix: "/b/",
      anonymous: true,
      targets: [...buildTargets(0, 1), { service: "nowhere", weight: 1 }],
    }),
  ],
  services: [
    ...sound.services,
    { name: "desk" },
    {
      name: "idle\n",
      scaling: {
        ...scaling,
        minEndpoints: 4,
        reclaimablePrice: 1,
        domainPrices: { north: 0 },
      },
    },
    { name: "priceless", scaling: { ...scaling, domainPrices: {} } },
  ],
  limits: { ...sound.limits, maxHeaderBytes: 0, maxBodyBytes: 0 },
  workspaces: [...sound.workspaces ?? [], { name: "empty", keys: [] }],
};

const changed: RoutingConfiguration = {
  ...sound,
  version: 8,
  routes: [
    buildRoute({
      name: "short",
      goalMs: 200,
      targets: [{ service: "desk", weight: 3 }, { service: "new", weight: 1 }],
    }),
    buildRoute({ name: "long", pathPrefix: "/a/b/" }),
    buildRoute({ name: "added", pathPrefix: "/c/" }),
  ],
  services: [
    {
      name: "desk",
      scaling: { ...scaling, maxEndpoints: 5, domainPrices: { north: 1.5 } },
    },
    { name: "new" },
  ],
  limits: { ...sound.limits, maxBodyBytes: 2_048 },
  workspaces: [
    { name: "red", keys: ["key-1", "key-4", "key-5"], rank: 0 },
    { name: "green", keys: ["key-3"] },
  ],
};

function buildTargets(first: number, second: number): ForwardRoute["targets"] {
  return [
    { service: "desk", weight: first },
    { service: "shop", weight: second },
  ];
}

function buildRoute(change: Partial<ForwardRoute>): ForwardRoute {
  return {
    name: "route",
    host: "one.example",
    pathPrefix: "/a/",
    kind: CallKind.Idempotent,
    resumable: false,
    timeoutMs: 1_000,
    goalMs: 1_000,
    maxEndpoints: 2,
    rank: 0,
    targets: buildTargets(1, 1),
    ...change,
  };
}

function listFaults(
  configuration: RoutingConfiguration,
  inForce?: RoutingConfiguration,
): readonly string[] {
  return findFaults(configuration, { source, inForce })
    .map((fault) => `${fault.severity}: ${formatFinding(fault)}`);
}

function listChanges(
  before: RoutingConfiguration,
  after: RoutingConfiguration,
): readonly string[] {
  return describeChanges(before, after).map(formatConfigurationChange);
}

/** Asserts that the change of a sound configuration is one fault or none. */
function assertVerdict(
  change: Partial<RoutingConfiguration>,
  verdict: string,
): void {
  const count = listFaults({ ...sound, ...change }).length;
  assert.equal(count, verdict === "reported" ? 1 : 0);
}

function replaceRoute(change: Partial<ForwardRoute>): readonly ForwardRoute[] {
  return [buildRoute(change), ...sound.routes.slice(1)];
}

Then("the sound configuration has no faults", function (): void {
  assert.deepEqual(listFaults(sound), []);
});

Then(
  "the faults of a configuration that breaks each rule match the snapshot",
  function (this: CheckWorld): void {
    const { routes } = sound;
    const others = {
      inForce: listFaults(sound, changed),
      limits: listFaults({
        ...sound,
        routes: replaceRoute({ kind: CallKind.AtMostOnce, timeoutMs: 500 }),
      }),
      keys: listFaults({ ...sound, routes, workspaces: [] }),
    };
    this.matchSnapshot({ faulty: listFaults(faulty), ...others });
  },
);

Then(
  /^a goal of (\d+) ms and a timeout of (\d+) ms are (\w+)$/,
  function (goal: string, timeout: string, verdict: string): void {
    const limits = { goalMs: Number(goal), timeoutMs: Number(timeout) };
    assertVerdict({ routes: replaceRoute(limits) }, verdict);
  },
);

Then(
  /^(\d+) endpoints for a call of kind (resumable )?(\w+) are (\w+)$/,
  function (
    endpoints: string,
    resumable: string | undefined,
    kind: CallKind,
    verdict: string,
  ): void {
    const route = {
      maxEndpoints: Number(endpoints),
      kind,
      resumable: Boolean(resumable),
    };
    assertVerdict({ routes: replaceRoute(route) }, verdict);
  },
);

Then(
  /^(\d+) to (\d+) endpoints, reclaimable at a price of ([0-9.]+) are (\w+)$/,
  function (min: string, max: string, price: string, verdict: string): void {
    const limits = {
      ...scaling,
      minEndpoints: Number(min),
      maxEndpoints: Number(max),
      reclaimablePrice: Number(price),
    };
    const desk: RoutedService = { name: "desk", scaling: limits };
    const services = [desk, ...sound.services.slice(1)];
    assertVerdict({ services }, verdict);
  },
);

Then(
  /^version (\d+) after version (\d+) are (\w+)$/,
  function (version: string, inForce: string, verdict: string): void {
    const faults = listFaults(
      { ...sound, version: Number(version) },
      { ...sound, version: Number(inForce) },
    );
    assert.equal(faults.length, verdict === "reported" ? 1 : 0);
  },
);

Then(
  /^weights (\d+) and (\d+) are (\w+)$/,
  function (first: string, second: string, verdict: string): void {
    const targets = buildTargets(Number(first), Number(second));
    assertVerdict({ routes: replaceRoute({ targets }) }, verdict);
  },
);

Then(
  "of any routes, those that no call finds are reported as never chosen",
  function (): void {
    const hosts = [
      "one.example",
      "ONE.example",
      "two.example",
      "two.example:80",
    ];
    const prefixes = ["/", "/a/", "/a/b/", "a/"];
    const anyRoute = fc.record({
      host: fc.constantFrom(...hosts),
      pathPrefix: fc.constantFrom(...prefixes),
    });
    fc.assert(
      fc.property(fc.array(anyRoute, { maxLength: 8 }), (changes) => {
        const routes = changes.map(buildRoute);
        const index = buildRouteIndex({ ...sound, routes });
        const found = new Set(
          hosts.flatMap((host) =>
            prefixes.map((path) =>
              index.findRoute(host, path.startsWith("/") ? path : `/${path}`)
            )
          ),
        );
        const expected = routes.flatMap((route, place) =>
          found.has(route) ? [] : [`routes.${place}`]
        );
        const reported = findFaults({ ...sound, routes }, { source })
          .filter(({ message }) => message.startsWith("is never chosen"))
          .map(({ place }) => place.path);
        assert.deepEqual([...new Set(reported)], expected);
      }),
      propertyRun,
    );
  },
);

Then(
  "the changes between two configurations match the snapshot",
  function (this: CheckWorld): void {
    this.matchSnapshot({
      changes: listChanges(sound, changed),
      withoutWorkspaces: listChanges(sound, {
        ...sound,
        workspaces: undefined,
      }),
    });
  },
);

Then("no finding and no change holds a key", function (): void {
  const results = [
    findFaults(faulty, { source, inForce: sound }),
    describeChanges(sound, changed),
    describeChanges(changed, sound),
  ];
  assert.doesNotMatch(JSON.stringify(results), /key-\d/);
});

Then(
  "no configuration differs from itself, also with repeated names",
  function (): void {
    for (const each of [sound, faulty, changed]) {
      assert.deepEqual(describeChanges(each, structuredClone(each)), []);
    }
  },
);
