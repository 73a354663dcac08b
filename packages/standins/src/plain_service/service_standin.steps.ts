/** Steps of `service_standin.feature`. */
import { After, Given, Then, When } from "@cucumber/cucumber";
import {
  type OpenEndpointClients,
  openEndpointClients,
  RemoteError,
  type ServiceAnswer,
  type ServiceClient,
} from "@trefoildoor/core";
import { waitUntil } from "@trefoildoor/testing";
import { type ServiceStandin, startServiceStandin } from "./service_standin.ts";

/** State of one scenario. */
interface ServiceWorld {
  serviceStandin: ServiceStandin;
  serviceClients: OpenEndpointClients;
  serviceClient: ServiceClient;
  serviceAnswers: unknown[];
  matchSnapshot: (received: unknown) => void;
}

const maxConnections = 2;
const never = new AbortController().signal;

async function settle(
  promise: Promise<ServiceAnswer | void>,
): Promise<unknown> {
  try {
    const answer = await promise;
    return answer ? { status: answer.status, body: answer.body } : "nothing";
  } catch (error) {
    if (!(error instanceof RemoteError)) throw error;
    return { failure: error.failure, effect: error.effect };
  }
}

function callBooking(
  world: ServiceWorld,
  key: string,
  { signal }: { readonly signal: AbortSignal },
): Promise<unknown> {
  const answer = world.serviceClient.call({
    method: "POST",
    path: "/bookings",
    headers: { "content-type": "application/json" },
    body: JSON.stringify({ item: "tent" }),
    key,
  }, signal);
  return settle(answer);
}

Given("a service stand-in", async function (this: ServiceWorld): Promise<void> {
  this.serviceStandin = await startServiceStandin({ lookUpByKey: true });
  this.serviceAnswers = [];
  this.serviceClients = openEndpointClients({
    connections: { maxConnections },
    onLeaving: () => this.serviceAnswers.push("seen to be leaving"),
  });
  this.serviceClient = this.serviceClients.openService(
    "desk",
    this.serviceStandin.address,
  );
});

Given("the service loses its next answer", function (this: ServiceWorld): void {
  this.serviceStandin.faults.loseAnswers = 1;
});

Given("the service is leaving", function (this: ServiceWorld): void {
  this.serviceStandin.setLeaving(true);
});

Given("the service is paused", function (this: ServiceWorld): void {
  this.serviceStandin.pause();
});

When("the service resumes", function (this: ServiceWorld): void {
  this.serviceStandin.resume();
});

Given("the service has crashed", function (this: ServiceWorld): Promise<void> {
  return this.serviceStandin.crash();
});

When("the service restarts", function (this: ServiceWorld): Promise<void> {
  return this.serviceStandin.restart();
});

When(
  "the booking {string} is called",
  async function (this: ServiceWorld, key: string): Promise<void> {
    this.serviceAnswers.push(await callBooking(this, key, { signal: never }));
  },
);

When(
  "more bookings than connections are called and all are aborted",
  async function (this: ServiceWorld): Promise<void> {
    const abort = new AbortController();
    this.serviceStandin.faults.delayMs = 200;
    let arrived = 0;
    this.serviceStandin.faults.matches = () => {
      arrived++;
      return true;
    };
    const calls = Array.from(
      { length: maxConnections + 2 },
      (_, index) => callBooking(this, `k${index}`, { signal: abort.signal }),
    );
    await waitUntil(
      "all connections are used",
      () => arrived === maxConnections,
    );
    abort.abort();
    this.serviceAnswers.push(...await Promise.all(calls));
    await waitUntil(
      "what was sent has run",
      () => this.serviceStandin.listRuns().length === maxConnections,
    );
  },
);

When(
  "the key {string} is looked up",
  async function (this: ServiceWorld, key: string): Promise<void> {
    const found = this.serviceClient.lookUp?.(key) ?? Promise.resolve();
    this.serviceAnswers.push(await settle(found));
  },
);

When(
  "the service is pinged",
  async function (this: ServiceWorld): Promise<void> {
    this.serviceAnswers.push(await settle(this.serviceClient.ping()));
  },
);

Then(
  "the service's answers and runs match the snapshot",
  function (this: ServiceWorld): void {
    const runs = this.serviceStandin.listRuns();
    this.matchSnapshot({
      answers: this.serviceAnswers,
      runs: runs.map(({ key, method, path }) => `${method} ${path} ${key}`),
    });
  },
);

After(async function (this: Partial<ServiceWorld>): Promise<void> {
  await this.serviceClients?.close();
  await this.serviceStandin?.close();
});
