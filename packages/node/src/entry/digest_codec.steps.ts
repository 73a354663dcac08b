/** Steps of `digest_codec.feature`. */
import { strict as assert } from "node:assert";
import { deflateSync } from "node:zlib";
import { Given, Then } from "@cucumber/cucumber";
import type { PeerDigest } from "@trefoildoor/core";
import {
  decodeDigests,
  encodeDigests,
  encodeNearDigests,
} from "./digest_codec.ts";
import { buildBusyDigest } from "./digests.test.ts";

/** State of one scenario. */
interface CodecWorld {
  busyDigests: readonly PeerDigest[];
}

const megabyte = 1_048_576;
const percent = 100;

Given(
  "{int} digests of busy instances",
  function (this: CodecWorld, count: number): void {
    this.busyDigests = Array.from(
      { length: count },
      (_, index) =>
        buildBusyDigest({
          name: `front-santiago-a-${index}`,
          failureDomain: "santiago-a",
          address: `10.1.0.${index}:7380`,
        }, { sequence: index }),
    );
  },
);

Then(
  "they are the same after encoding and decoding",
  function (this: CodecWorld): void {
    const decoded = decodeDigests(encodeDigests(this.busyDigests));
    assert.deepEqual(decoded, this.busyDigests);
  },
);

Then(
  "their datagram has at most {int} % of the bytes of their JSON",
  function (this: CodecWorld, mostPercent: number): void {
    const bytes = encodeDigests(this.busyDigests).length;
    const plainBytes = JSON.stringify(this.busyDigests).length;
    const share = Math.round(bytes * percent / plainBytes);
    assert.ok(share <= mostPercent, `${share} % of ${plainBytes} bytes`);
  },
);

Then(
  /^their datagram for the own failure domain is (plain|compressed)$/,
  function (this: CodecWorld, kind: string): void {
    const message = encodeNearDigests(this.busyDigests);
    const isPlain = message.equals(
      Buffer.from(JSON.stringify(this.busyDigests)),
    );
    assert.equal(isPlain, kind === "plain", `${message.length} bytes`);
  },
);

Then(
  "they are the same after encoding for the own failure domain and decoding",
  function (this: CodecWorld): void {
    const decoded = decodeDigests(encodeNearDigests(this.busyDigests));
    assert.deepEqual(decoded, this.busyDigests);
  },
);

Then(
  "they are the same after decoding their plain JSON",
  function (this: CodecWorld): void {
    const plain = Buffer.from(JSON.stringify(this.busyDigests));
    assert.deepEqual(decodeDigests(plain), this.busyDigests);
  },
);

Then(
  "no damaged copy of their datagram makes decoding fail with an error",
  function (this: CodecWorld): void {
    const whole = encodeDigests(this.busyDigests);
    for (let index = 0; index < whole.length; index += 1) {
      const damaged = Buffer.from(whole);
      damaged[index] = (damaged[index] ?? 0) ^ 0xff;
      assert.doesNotThrow(() => decodeDigests(damaged));
      assert.equal(decodeDigests(whole.subarray(0, index)), undefined);
    }
  },
);

Then(
  "a datagram of {int} MB of spaces is malformed",
  function (this: CodecWorld, size: number): void {
    const spaces = Buffer.alloc(size * megabyte, " ");
    assert.equal(decodeDigests(deflateSync(spaces)), undefined);
  },
);
