/** Steps of `fair_shares.feature` on places that are left. */
import { strict as assert } from "node:assert";
import { Then, When } from "@cucumber/cucumber";
import { hasFreeEndpoints } from "./index.ts";

interface PlacesWorld {
  left: boolean;
}

When(
  "endpoints of {int} places have {string} calls and {string} prompt tokens to compute",
  function (
    this: PlacesWorld,
    slots: number,
    calls: string,
    tokens: string,
  ): void {
    const loads = calls.split(" ").map((each, index) => ({
      calls: Number(each),
      readTokens: Number(tokens.split(" ")[index]),
      lateTokens: 0,
    }));
    this.left = hasFreeEndpoints("search", {
      endpoints: {
        listAccepting: (service) =>
          loads.map((_, index) => ({
            name: String(index),
            service,
            address: "",
            failureDomain: "a",
            slots,
            leaving: false,
          })),
      },
      endpointTracker: {
        getLoad: (name) => loads[Number(name)] ?? loads[0]!,
        isSuspended: () => false,
      },
    });
  },
);

Then(
  /^places are (left|not left)$/,
  function (this: PlacesWorld, left: string): void {
    assert.equal(this.left, left === "left");
  },
);
