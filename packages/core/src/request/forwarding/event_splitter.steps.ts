/** Steps of `event_splitter.feature`. */
import { strict as assert } from "node:assert";
import { Then } from "@cucumber/cucumber";
import fc from "fast-check";
import { createEventSplitter } from "./index.ts";

const propertyRun = { seed: 4_471, numRuns: 300 };

function readEscapes(text: string): string {
  return text.replaceAll("\\r", "\r").replaceAll("\\n", "\n");
}

Then(
  "any events in any chunks come out whole, with the id of the last one",
  function (): void {
    const data = fc.array(fc.stringMatching(/^[a-z:]{0,9}$/), {
      minLength: 1,
      maxLength: 12,
    });
    const cuts = fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 });
    fc.assert(
      fc.property(data, cuts, (events, sizes) => {
        const text = events
          .map((each, index) => `id: ${index + 1}\ndata: ${each}\n\n`)
          .join("");
        checkChunks(text, sizes, { lastId: String(events.length) });
      }),
      propertyRun,
    );
  },
);

const lastEvent = "data: last\n\n";

/** Checks that each result ends at an event boundary and that the results together are the input. */
function checkChunks(
  text: string,
  sizes: readonly number[],
  { lastId }: { readonly lastId: string },
): void {
  const splitter = createEventSplitter();
  let from = 0;
  let turn = 0;
  let joined = "";
  let id: string | undefined;
  while (from < text.length) {
    const size = sizes[turn % sizes.length] ?? 1;
    const split = splitter.add(Buffer.from(text.slice(from, from + size)));
    if (split) {
      assert.ok(split.bytes.toString().endsWith("\n\n"));
      joined += split.bytes.toString();
      id = split.lastId;
    }
    from += size;
    turn += 1;
  }
  assert.equal(splitter.countBuffered(), text.length - joined.length);
  // The next end of an event brings out what was buffered: no byte is lost or comes twice.
  const last = splitter.add(Buffer.from(lastEvent));
  assert.equal(joined + (last?.bytes.toString() ?? ""), text + lastEvent);
  assert.equal(id, lastId);
}

Then(
  "the bytes {string} hold the whole events {string} up to id {string}",
  function (bytes: string, events: string, id: string): void {
    const split = createEventSplitter().add(Buffer.from(readEscapes(bytes)));
    assert.equal(split?.bytes.toString() ?? "", readEscapes(events));
    assert.equal(split?.lastId ?? "", id);
  },
);
