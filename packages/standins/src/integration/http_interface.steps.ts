/** Steps of `http_interface.feature`. */
import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { ExampleFleet, outcomeHeader } from "@trefoildoor/core";
import { request } from "undici";
import { waitForVersion } from "../demo/versions.ts";
import { type Fleet, startFleet } from "../fleet/index.ts";

/** One answer as snapshots keep it. */
interface SeenAnswer {
  readonly status: number;
  readonly outcome: unknown;
  readonly code?: unknown;
}

/** State of one scenario. */
interface InterfaceWorld {
  interfaceFleet?: Fleet;
  answers: Record<string, unknown>;
  strangerStatus: number;
  matchSnapshot: (received: unknown) => void;
}

const bodyLimitBytes = 4_096;
const model = "contract-reader";

After(async function (this: InterfaceWorld): Promise<void> {
  await this.interfaceFleet?.close();
});

Given(
  "a small fleet for the caller interface",
  async function (this: InterfaceWorld): Promise<void> {
    this.interfaceFleet = await startFleet({
      fleet: ExampleFleet.Association,
      instances: 1,
      settings: {
        callers: {
          host: "127.0.0.1",
          port: 0,
          "max_body_bytes": bodyLimitBytes,
        },
      },
      editBundle: (bundle) => ({
        ...bundle,
        callers: bundle.callers.map((caller, index) =>
          index === 0 ? caller : { ...caller, models: [], services: [] }
        ),
      }),
    });
    await waitForVersion(this.interfaceFleet, 1);
  },
);

When(
  "callers send each kind of bad request",
  async function (this: InterfaceWorld): Promise<void> {
    const fleet = getFleet(this);
    const good = { model, prompt: "free tents", "max_tokens": 2 };
    const post = (
      path: string,
      body: unknown,
      options: { readonly caller?: number } = {},
    ): Promise<SeenAnswer> =>
      callInstance(fleet, path, {
        method: "POST",
        body: typeof body === "string" ? body : JSON.stringify(body),
        ...options,
      });
    this.answers = {
      "no key": await post("/v1/completions", good, { caller: -1 }),
      "unknown key": await post("/v1/completions", good, { caller: 99 }),
      "not JSON": await post("/v1/completions", "{"),
      "no prompt": await post("/v1/completions", { model }),
      "too many tokens": await post("/v1/completions", {
        ...good,
        "max_tokens": 1e9,
      }),
      "too large": await post("/v1/completions", {
        ...good,
        prompt: "x".repeat(bodyLimitBytes),
      }),
      "unknown model": await post("/v1/completions", {
        ...good,
        model: "none",
      }),
      "unknown adapter": await post("/v1/completions", {
        ...good,
        model: `${model}:none`,
      }),
      "model not allowed": await post("/v1/completions", good, { caller: 1 }),
      "unknown path": await post("/v2/completions", good),
      "unknown service": await post("/services/none/bookings", good),
      "service not allowed": await post(
        "/services/booking-desk/bookings",
        good,
        { caller: 1 },
      ),
      "booking without a key": await post(
        "/services/booking-desk/bookings",
        good,
      ),
    };
  },
);

Then(
  "their statuses and outcomes match the snapshot",
  function (this: InterfaceWorld): void {
    this.matchSnapshot(this.answers);
  },
);

Then(
  "no engine and no service of the small fleet ran anything",
  function (this: InterfaceWorld): void {
    const { engines, services } = getFleet(this);
    assert.deepEqual(
      engines.flatMap(({ standin }) => standin.listGenerations()),
      [],
    );
    assert.deepEqual(services.flatMap(({ standin }) => standin.listRuns()), []);
  },
);

When(
  "a caller lists models, completes, chats and reads a service",
  async function (this: InterfaceWorld): Promise<void> {
    const fleet = getFleet(this);
    const prompt = "free tents";
    const whole = { model, prompt, "max_tokens": 2 };
    const chat = {
      model,
      messages: [{ role: "user", content: prompt }],
      "max_tokens": 1,
      stream: true,
    };
    const post = (path: string, body: object): Promise<SeenAnswer> =>
      callInstance(fleet, path, {
        method: "POST",
        body: JSON.stringify(body),
        whole: true,
      });
    this.answers = {
      models: await callInstance(fleet, "/v1/models", {
        method: "GET",
        whole: true,
      }),
      completion: await post("/v1/completions", whole),
      adapter: await post("/v1/completions", {
        ...whole,
        model: `${model}:quotes`,
      }),
      chat: await post("/v1/chat/completions", chat),
    };
  },
);

Then(
  "the shapes of the answers match the snapshot",
  function (this: InterfaceWorld): void {
    const text = JSON.stringify(this.answers, null, 2)
      .replace(/cmpl-[0-9a-f-]{36}/g, "cmpl-ID")
      .replace(/(created\\*": ?)\d+/g, "$10");
    this.matchSnapshot(text);
  },
);

When(
  "a stranger asks the peers' listener for its control state",
  async function (this: InterfaceWorld): Promise<void> {
    const [instance] = getFleet(this).listInstances();
    const { statusCode, body } = await request(
      `http://${instance?.peerAddress}/controlState`,
      {
        headers: { "trefoildoor-peer-key": "some other key of some length" },
      },
    );
    await body.dump();
    this.strangerStatus = statusCode;
  },
);

Then("the stranger is refused", function (this: InterfaceWorld): void {
  assert.equal(this.strangerStatus, 401);
});

function getFleet(world: InterfaceWorld): Fleet {
  assert.ok(world.interfaceFleet);
  return world.interfaceFleet;
}

/** Sends one request; `caller` is an index in the bundle, -1 for none. */
async function callInstance(
  fleet: Fleet,
  path: string,
  options: {
    readonly method: "GET" | "POST";
    readonly body?: string;
    readonly caller?: number;
    readonly whole?: boolean;
  },
): Promise<SeenAnswer> {
  const [instance] = fleet.listInstances();
  const index = options.caller ?? 0;
  const name = fleet.bundle.callers[index]?.name ?? "nobody";
  const { statusCode, headers, body, trailers } = await request(
    `http://${instance?.callerAddress}${path}`,
    {
      method: options.method,
      body: options.body,
      headers: {
        "content-type": "application/json",
        ...(index < 0 ? {} : { authorization: `Bearer ${fleet.getKey(name)}` }),
      },
    },
  );
  const text = await body.text();
  const outcome = headers[outcomeHeader] ?? trailers[outcomeHeader];
  if (options.whole) return { status: statusCode, outcome, code: text };
  return { status: statusCode, outcome, code: JSON.parse(text).error.code };
}
