/** Steps of `scaling.feature` that let loads come and look at the fleet. */
import { strict as assert } from "node:assert";
import { Given, Then, When } from "@cucumber/cucumber";
import { limits, offerLoad, type ScalingWorld } from "./scaling.steps.ts";

const longTest = { timeout: 20_000 };

When("no load comes for {int} s", longTest, async function (
  this: ScalingWorld,
  seconds: number,
): Promise<void> {
  await offerLoad(this, { seconds, getNeed: () => 0 });
});

When("a load that needs {int} comes for {int} s", longTest, async function (
  this: ScalingWorld,
  need: number,
  seconds: number,
): Promise<void> {
  this.fewest = Infinity;
  this.mostLeft = 0;
  this.orders = [];
  await offerLoad(this, { seconds, getNeed: () => need });
});

When(
  "a load that needs between {int} and {int} by turns of {int} s comes for {int} s",
  longTest,
  async function (
    this: ScalingWorld,
    low: number,
    high: number,
    turn: number,
    seconds: number,
  ): Promise<void> {
    this.orders = [];
    await offerLoad(this, {
      seconds,
      getNeed: (ms) => Math.floor(ms / (turn * 1_000)) % 2 === 0 ? high : low,
    });
  },
);

When(
  "orders for fewer get lost while a load that needs {int} comes for {int} s",
  longTest,
  async function (
    this: ScalingWorld,
    need: number,
    seconds: number,
  ): Promise<void> {
    this.losesFewer = true;
    await offerLoad(this, { seconds, getNeed: () => need });
  },
);

Then("the fleet never had fewer than the load needed", function (
  this: ScalingWorld,
): void {
  assert.ok(this.spare >= 0, `${this.spare}`);
});

Then(
  "at the end it has at most {int} endpoints, of which at most {int} are not reclaimable",
  function (this: ScalingWorld, most: number, regular: number): void {
    const count = this.endpoints.filter(({ reclaimable }) => !reclaimable);
    assert.ok(this.endpoints.length <= most, `${this.endpoints.length}`);
    assert.ok(count.length <= regular, `${count.length} regular`);
  },
);

Then("no more than {int} endpoints left at a time", function (
  this: ScalingWorld,
  most: number,
): void {
  assert.ok(this.mostLeft <= most, `${this.mostLeft}`);
});

Then("at the end it costs at most half of {int} that stay", function (
  this: ScalingWorld,
  count: number,
): void {
  const { domainPrices, reclaimablePrice = 1 } = this.limits;
  const cost = this.endpoints.reduce((sum, each) => {
    const price = domainPrices[each.failureDomain] ?? 1;
    return sum + price * (each.reclaimable ? reclaimablePrice : 1);
  }, 0);
  assert.ok(cost <= count / 2, `${cost}`);
});

Then(
  "the loss of any one domain's reclaimable endpoints leaves at least {int}",
  function (this: ScalingWorld, count: number): void {
    for (const domain of Object.keys(this.limits.domainPrices)) {
      const left = this.endpoints.filter((each) =>
        each.failureDomain !== domain || !each.reclaimable
      );
      assert.ok(left.length >= count, `${left.length} without ${domain}`);
    }
  },
);

Then("the fleet never had fewer than {int} endpoints", function (
  this: ScalingWorld,
  count: number,
): void {
  assert.ok(this.fewest >= count, `${this.fewest}`);
});

Then("after {int} s no order for more or fewer is made", function (
  this: ScalingWorld,
  seconds: number,
): void {
  const [first] = this.orders;
  assert.ok(first);
  const late = this.orders.filter(({ atMs }) =>
    atMs - first.atMs > seconds * 1_000
  );
  assert.deepEqual(late, []);
});

Then("within {int} s the fleet has at least {int} endpoints", function (
  this: ScalingWorld,
  _seconds: number,
  count: number,
): void {
  assert.ok(this.endpoints.length >= count, `${this.endpoints.length}`);
});

/** Takes the reclaimable endpoints of a domain away, which has no more of them. */
function removeReclaimable(world: ScalingWorld, domain: string): void {
  world.dry.add(domain);
  world.endpoints = world.endpoints.filter((each) =>
    each.failureDomain !== domain || !each.reclaimable
  );
}

Given("domains {string} are dry", function (
  this: ScalingWorld,
  names: string,
): void {
  for (const name of names.split(" ")) this.dry.add(name);
});

When(
  "one domain's reclaimable endpoints are reclaimed and it stays dry",
  function (this: ScalingWorld): void {
    removeReclaimable(this, "b");
  },
);

When(
  "all domains turn dry and one domain's reclaimable endpoints are reclaimed",
  function (this: ScalingWorld): void {
    for (const domain of Object.keys(limits.domainPrices)) this.dry.add(domain);
    removeReclaimable(this, "b");
  },
);

Then("at most {int} endpoints are not reclaimable", function (
  this: ScalingWorld,
  most: number,
): void {
  const regular = this.endpoints.filter((each) => !each.reclaimable);
  assert.ok(regular.length <= most, `${regular.length}`);
});

When(
  "all domains' reclaimable endpoints are reclaimed one after the other and stay dry, while a load that needs {int} comes",
  longTest,
  async function (this: ScalingWorld, need: number): Promise<void> {
    for (const domain of Object.keys(limits.domainPrices)) {
      removeReclaimable(this, domain);
      await offerLoad(this, { seconds: 10, getNeed: () => need });
    }
  },
);

Then("the fleet has at least {int} endpoints", function (
  this: ScalingWorld,
  count: number,
): void {
  assert.ok(this.endpoints.length >= count, `${this.endpoints.length}`);
});

Then("at least {int} endpoints were there all the time", function (
  this: ScalingWorld,
  count: number,
): void {
  assert.ok(this.fewest >= count, `${this.fewest}`);
});

Then("no order was made meanwhile", function (this: ScalingWorld): void {
  assert.deepEqual(this.orders, []);
});
