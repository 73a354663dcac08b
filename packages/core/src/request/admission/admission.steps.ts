/** Steps of `admission.feature`: fairness, the queue's limit, early refusals and released capacity. */
import assert from "node:assert/strict";
import { setImmediate as waitForTurn } from "node:timers/promises";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import fc from "fast-check";
import type { Either } from "purify-ts";
import { Priority, type Refusal } from "../../types/index.ts";
import {
  type Admission,
  type AdmissionTicket,
  createAdmission,
  createFairQueue,
  type FairQueue,
  type QueuedWork,
} from "./index.ts";

/** State of one scenario. */
interface AdmissionWorld {
  admission: Admission;
  queue: FairQueue<QueuedWork>;
  batch: QueuedWork;
  answers: Either<Refusal, AdmissionTicket>[];
  clock?: PausedClock;
  matchSnapshot: (received: unknown) => void;
}

const propertyRun = { seed: 5_021, numRuns: 200 };
const singleRequestCapacity = {
  kvBlocks: 1,
  promptTokens: 10_000,
  requests: 1,
};

After(function (this: AdmissionWorld): void {
  this.clock?.uninstall();
});

function buildWork(overrides: Partial<QueuedWork>): QueuedWork {
  return {
    caller: "branch",
    share: 1,
    priority: Priority.Normal,
    deadlineAtMs: 1,
    cost: 1,
    ...overrides,
  };
}

function enterRequest(
  world: AdmissionWorld,
  overrides: { readonly caller?: string; readonly deadlineMs?: number } = {},
): void {
  void world.admission.enter({
    caller: overrides.caller ?? "branch",
    share: 1,
    priority: Priority.Normal,
    deadlineMs: overrides.deadlineMs ?? 60_000,
    promptTokens: 500,
    maxTokens: 100,
  }).then((answer) => world.answers.push(answer));
}

Then(
  "the fair queue keeps any callers within one request of their shares",
  function (): void {
    const flow = fc.record({
      share: fc.integer({ min: 1, max: 9 }),
      cost: fc.integer({ min: 1, max: 50 }),
    });
    const flows = fc.array(flow, { minLength: 2, maxLength: 6 });
    fc.assert(fc.property(flows, checkShares), propertyRun);
  },
);

/** While all callers wait, their costs served per share differ at most by the largest cost per share of one request. */
function checkShares(
  flows: readonly { readonly share: number; readonly cost: number }[],
): void {
  const queue = createFairQueue<QueuedWork>();
  const served = flows.map(() => 0);
  flows.forEach((flow, caller) => {
    for (let each = 0; each < 400; each++) {
      queue.add(buildWork({ caller: String(caller), ...flow }));
    }
  });
  for (let each = 0; each < 300; each++) {
    const next = queue.getNext();
    assert.ok(next);
    queue.dequeue(next);
    const caller = Number(next.caller);
    served[caller] = (served[caller] ?? 0) + next.cost / next.share;
  }
  const slack = Math.max(
    ...flows.map((flow) => flow.cost / flow.share),
  );
  assert.ok(Math.max(...served) - Math.min(...served) <= slack + 1e-9);
}

Given(
  "a fair queue that always holds interactive requests",
  function (this: AdmissionWorld): void {
    this.queue = createFairQueue();
    for (let each = 0; each < 10; each++) {
      this.queue.add(buildWork({ priority: Priority.Interactive }));
    }
  },
);

When(
  "a batch request waits in the fair queue",
  function (this: AdmissionWorld): void {
    this.batch = buildWork({ priority: Priority.Batch, caller: "batch" });
    this.queue.add(this.batch);
    this.queue.add({ ...this.batch });
  },
);

Then(
  "it is served within the work that its share allows",
  function (this: AdmissionWorld): void {
    const allowed = 32;
    for (let served = 0; served < allowed; served++) {
      const next = this.queue.getNext();
      assert.ok(next);
      this.queue.dequeue(next);
      if (next === this.batch) return;
      this.queue.add(buildWork({ priority: Priority.Interactive }));
    }
    assert.fail("the batch request starves");
  },
);

Given(
  "an admission with room for 1 request that lets {int} wait",
  function (this: AdmissionWorld, maxWaiting: number): void {
    this.answers = [];
    this.admission = createAdmission({
      getCapacity: () => singleRequestCapacity,
      maxWaiting,
    });
  },
);

When(
  "{int} callers ask for admission at once",
  async function (this: AdmissionWorld, callers: number): Promise<void> {
    for (let caller = 0; caller < callers; caller++) {
      enterRequest(this, { caller: `caller-${caller}` });
    }
    await waitForTurn();
  },
);

Then(
  "at most {int} wait and each of the others was refused with a time to come back",
  function (this: AdmissionWorld, maxWaiting: number): void {
    const { waiting, inFlight } = this.admission.getState();
    const refusals = this.answers.flatMap((answer) =>
      answer.swap().toMaybe().toList()
    );
    assert.equal(inFlight.requests, 1);
    assert.ok(waiting > 0 && waiting <= maxWaiting);
    assert.equal(refusals.length, 20 - waiting - inFlight.requests);
    assert.ok(refusals.every((refusal) => (refusal.retryAfterMs ?? 0) > 0));
    this.admission.stop();
  },
);

When(
  "the admission stops",
  async function (this: AdmissionWorld): Promise<void> {
    this.admission.stop();
    await waitForTurn();
  },
);

Then(
  "the answers of the admission match the snapshot",
  function (this: AdmissionWorld): void {
    this.matchSnapshot(
      this.answers.map((answer) =>
        answer.caseOf<unknown>({
          Left: (refusal) => refusal,
          Right: () => "admitted",
        })
      ),
    );
  },
);

Given(
  "an admission on a paused clock whose engines answer in {int} ms",
  async function (this: AdmissionWorld, answerMs: number): Promise<void> {
    this.clock = pauseClock();
    this.answers = [];
    this.admission = createAdmission({
      getCapacity: () => singleRequestCapacity,
    });
    for (let each = 0; each < 20; each++) {
      enterRequest(this);
      await waitForTurn();
      this.clock.tick(answerMs);
      this.answers.pop()?.ifRight((ticket) => {
        ticket.recordFirstToken();
        ticket.close({ outputTokens: 100, useful: true });
      });
    }
  },
);

When(
  "{int} requests with a deadline of {int} ms ask for admission",
  async function (
    this: AdmissionWorld,
    requests: number,
    deadlineMs: number,
  ): Promise<void> {
    this.answers = [];
    for (let each = 0; each < requests; each++) {
      enterRequest(this, { deadlineMs });
    }
    await waitForTurn();
    this.clock?.tick(1_000);
    await waitForTurn();
  },
);

Then(
  "at least {int} of them were refused in the first second with a time to come back",
  function (this: AdmissionWorld, minRefused: number): void {
    const refusals = this.answers.flatMap((answer) =>
      answer.swap().toMaybe().toList()
    );
    assert.ok(refusals.length >= minRefused, `${refusals.length} refused`);
    assert.ok(refusals.every((refusal) => (refusal.retryAfterMs ?? 0) > 0));
    this.admission.stop();
  },
);

Then(
  "any order of admissions, first tokens and ends leaves nothing held",
  async function (): Promise<void> {
    const actions = fc.array(fc.constantFrom("enter", "token", "end"), {
      maxLength: 60,
    });
    await fc.assert(
      fc.asyncProperty(actions, checkReleasedCapacity),
      propertyRun,
    );
  },
);

/** Checks the limits after each action, and that no capacity stays reserved; closes each ticket twice. */
async function checkReleasedCapacity(
  actions: readonly string[],
): Promise<void> {
  const world = { answers: [] } as unknown as AdmissionWorld;
  world.admission = createAdmission({
    getCapacity: () => ({ kvBlocks: 5, promptTokens: 1_000, requests: 4 }),
  });
  function closeFirstTicket(): void {
    world.answers.shift()?.ifRight((ticket) => {
      ticket.close({ outputTokens: 3, useful: true });
      ticket.close({ outputTokens: 3, useful: true });
    });
  }
  for (const action of actions) {
    if (action === "enter") enterRequest(world);
    if (action === "token") {
      world.answers[0]?.ifRight((ticket) => ticket.recordFirstToken());
    }
    if (action === "end") closeFirstTicket();
    await Promise.resolve();
    const { kvBlocks, requests } = world.admission.getState().inFlight;
    assert.ok(kvBlocks <= 5 && requests <= 4);
  }
  world.admission.stop();
  await waitForTurn();
  while (world.answers.length > 0) closeFirstTicket();
  const { inFlight, waiting } = world.admission.getState();
  assert.deepEqual(
    { ...inFlight, waiting },
    { kvBlocks: 0, promptTokens: 0, requests: 0, waiting: 0 },
  );
}
