/** Steps of `peer_link.feature` about instances that tell what they place. */
import { strict as assert } from "node:assert";
import { Then, When } from "@cucumber/cucumber";
import { createPeerRegistry } from "@trefoildoor/core";
import { buildDigest } from "./peer_link.steps.ts";
import { canHearPlacements } from "./peer_targets.ts";

/** State of one scenario. */
interface HeardWorld {
  countsPlacements?: boolean;
}

When(
  "{int} instances are heard, of which {int} are of a former version",
  function (this: HeardWorld, instances: number, former: number): void {
    const failureDomain = "sapporo";
    const peers = createPeerRegistry({
      instance: "own",
      logEvent: () => undefined,
    });
    for (let index = 0; index < instances; index++) {
      const from = { name: `s${index}`, failureDomain, address: "10.0.0.1:1" };
      const takesPlacements = index < former ? undefined : true;
      peers.acceptDigest({
        ...buildDigest(from, { sequence: 1 }),
        takesPlacements,
      });
    }
    this.countsPlacements = canHearPlacements(peers, failureDomain);
  },
);

Then(/^what they place is (not )?counted$/, function (
  this: HeardWorld,
  not: string | null,
): void {
  assert.equal(this.countsPlacements, !not);
});
