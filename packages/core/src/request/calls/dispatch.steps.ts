/** Steps of `dispatch.feature`. */
import { strict as assert } from "node:assert";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  type BundleService,
  Effect,
  RemoteError,
  RemoteFailure,
  type ServiceClient,
} from "../../types/index.ts";
import type {
  CallContext,
  ServiceCall,
  ServiceEndpoint,
} from "./call_types.ts";
import { findLiveEndpoint, sendRepeatable } from "./dispatch.ts";

/** State of one scenario. */
interface DispatchWorld {
  dispatchService: BundleService;
  accepting: readonly ServiceEndpoint[];
  reachedEndpoints: string[];
  /** Called with the endpoint of each ping and call before it is answered. */
  onReached: (endpoint: string) => void;
  found?: ServiceEndpoint;
}

Given(
  "a service with the endpoints {string}",
  function (this: DispatchWorld, names: string): void {
    this.accepting = names.split(", ").map((name) => ({
      name,
      failure_domain: "a",
      address: "",
    }));
    this.dispatchService = {
      name: "desk",
      endpoints: [...this.accepting],
      idempotent_methods: ["GET"],
      allow_missing_key: false,
      look_up_by_key: false,
    };
    this.reachedEndpoints = [];
    this.onReached = () => undefined;
  },
);

function buildContext(world: DispatchWorld): CallContext {
  const openClient = ({ name }: ServiceEndpoint): ServiceClient => ({
    ping: () => Promise.resolve(world.onReached(name)),
    call: () => {
      world.reachedEndpoints.push(name);
      world.onReached(name);
      return Promise.reject(
        new RemoteError("no answer", {
          failure: RemoteFailure.Timeout,
          effect: Effect.Unknown,
        }),
      );
    },
    lookUp: () => Promise.resolve(undefined),
  });
  return {
    // These functions keep no results of calls.
    callTracker: undefined as unknown as CallContext["callTracker"],
    rankEndpoints: () => world.accepting,
    openClient,
  };
}

function buildCall(world: DispatchWorld): ServiceCall {
  return {
    caller: "shop",
    service: world.dispatchService,
    request: { method: "GET", path: "/stock", headers: {}, body: "" },
    signal: new AbortController().signal,
  };
}

function removeEndpoint(world: DispatchWorld, leaving: string): void {
  world.accepting = world.accepting.filter(({ name }) => name !== leaving);
}

When(
  "{string} leaves while {string} runs an idempotent call without an answer",
  async function (
    this: DispatchWorld,
    leaving: string,
    running: string,
  ): Promise<void> {
    this.onReached = (name) => {
      if (name === running) removeEndpoint(this, leaving);
    };
    await sendRepeatable(buildCall(this), buildContext(this));
  },
);

When(
  "{string} leaves while it is pinged for a call that must not repeat",
  async function (this: DispatchWorld, leaving: string): Promise<void> {
    this.onReached = (name) => {
      if (name === leaving) removeEndpoint(this, leaving);
    };
    this.found = await findLiveEndpoint(buildCall(this), buildContext(this));
  },
);

Then(
  "the call reaches {string}",
  function (this: DispatchWorld, names: string): void {
    assert.equal(this.reachedEndpoints.join(", "), names);
  },
);

Then(
  "the endpoint found for the call is {string}",
  function (this: DispatchWorld, name: string): void {
    assert.equal(this.found?.name, name);
  },
);
