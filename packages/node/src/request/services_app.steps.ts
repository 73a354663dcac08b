/** Steps of `services_app.feature`. */
import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  createStopBound,
  digestText,
  type ServiceCall,
} from "@trefoildoor/core";
import { Right } from "purify-ts";
import type { GatewayRequest } from "../connection/gateway.ts";
import type { VersionView } from "../version/view.ts";
import { createServicesApp } from "./services_app.ts";

/** State of one scenario. */
interface ServicesWorld {
  callerResponse: EventEmitter;
  serviceCall?: ServiceCall;
}

const apiKey = "a-key-of-a-shop";
const version = {
  callersByKey: new Map([[digestText(apiKey), {
    name: "shop",
    services: ["desk"],
    deadline_ms: 60_000,
  }]]),
  services: new Map([["desk", { name: "desk" }]]),
} as unknown as VersionView;

function startCall(world: ServicesWorld, key: string | undefined): void {
  world.callerResponse = new EventEmitter();
  const app = createServicesApp({
    pinVersion: () => Right(version),
    runCall: (call) => {
      world.serviceCall = call;
      return new Promise(() => undefined);
    },
    stopBound: createStopBound(),
  });
  const request = {
    url: "/desk/stock",
    method: "GET",
    headers: { authorization: `Bearer ${apiKey}`, "idempotency-key": key },
  } as unknown as GatewayRequest;
  void app.handlers["GET /:service"]?.(
    request,
    world.callerResponse as unknown as ServerResponse,
  );
  assert.ok(world.serviceCall);
}

Given(
  "a caller that calls a service without a key",
  function (this: ServicesWorld): void {
    startCall(this, undefined);
  },
);

Given(
  "a caller that calls a service with the key {string}",
  function (this: ServicesWorld, key: string): void {
    startCall(this, key);
  },
);

When("the caller disconnects", function (this: ServicesWorld): void {
  this.callerResponse.emit("close");
});

Then("the call is aborted", function (this: ServicesWorld): void {
  assert.equal(this.serviceCall?.signal.aborted, true);
});

Then("the call is not aborted", function (this: ServicesWorld): void {
  assert.equal(this.serviceCall?.signal.aborted, false);
});
