/**
 * Stand-in of the platform's store: keyed topics with append, read and newest,
 * as the protocol page describes them. It runs in the process of the test.
 */
import { createServer } from "node:http";

const lengthBytes = 4;
const headBytes = 16;

/** Starts the store; `write` is the way of the operator and the servers, and its return is the ack. Pages of newest records hold `pageSize` at most. */
export async function openStore(host, { pageSize = 500, onPage } = {}) {
  const topics = new Map();
  const waiting = new Set();

  function getTopic(name) {
    if (!topics.has(name)) topics.set(name, []);
    return topics.get(name);
  }

  function append(name, key, value) {
    const records = getTopic(name);
    records.push({ key, value });
    for (const wake of [...waiting]) wake();
    return records.length - 1;
  }

  function answerJson(response, status, body) {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
  }

  function answerNewest(response, topic, after) {
    const records = getTopic(topic);
    const newest = new Map();
    records.forEach(({ key }, offset) => newest.set(key, offset));
    const listed = [...newest]
      .filter(([key, offset]) => key > after && records[offset].value.length)
      .toSorted(([left], [right]) => left < right ? -1 : 1);
    const items = listed.slice(0, pageSize).map(([key, offset]) => ({
      key,
      value: records[offset].value.toString("base64"),
      offset,
    }));
    answerJson(response, 200, {
      items,
      hasMore: listed.length > pageSize,
      end: records.length,
    });
    onPage?.({ topic, after });
  }

  function answerRead(response, { topic, from, waitMs }) {
    const records = getTopic(topic);
    if (from > records.length) return answerJson(response, 410, { first: 0 });
    const finish = () => {
      waiting.delete(wake);
      clearTimeout(timer);
      if (response.destroyed) return;
      const head = Buffer.alloc(headBytes);
      head.writeBigUInt64BE(BigInt(records.length));
      response.writeHead(200);
      response.end(Buffer.concat([head, ...records.slice(from).map(encode)]));
    };
    const wake = () => {
      if (records.length > from) finish();
    };
    const timer = setTimeout(finish, waitMs);
    if (waitMs === 0) return finish();
    waiting.add(wake);
    response.once("close", () => {
      waiting.delete(wake);
      clearTimeout(timer);
    });
    wake();
  }

  const server = createServer(async (request, response) => {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const url = new URL(request.url, "http://store");
    const topic = url.searchParams.get("topic") ?? "";
    if (url.pathname === "/api/log-newest") {
      return answerNewest(
        response,
        topic,
        url.searchParams.get("after") ?? "",
      );
    }
    if (url.pathname === "/api/log-read") {
      return answerRead(response, {
        topic,
        from: Number(url.searchParams.get("from")),
        waitMs: Number(url.searchParams.get("waitMs") ?? 0),
      });
    }
    if (url.pathname !== "/api/log-append") {
      return answerJson(response, 404, {});
    }
    if (topic === "keyed.op" || topic === "keyed.servers") {
      return answerJson(response, 403, {});
    }
    const records = getTopic(topic);
    const at = url.searchParams.get("at");
    if (at !== null && Number(at) !== records.length) {
      return answerJson(response, 412, { end: records.length });
    }
    const keyEnd = lengthBytes + 1 + body[lengthBytes];
    const offset = append(
      topic,
      body.toString("utf8", lengthBytes + 1, keyEnd),
      body.subarray(keyEnd),
    );
    answerJson(response, 200, { offset, end: records.length });
  });
  // Channels stay open while idle, as no page limits that.
  server.keepAliveTimeout = 0;
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    address: `${host}:${server.address().port}`,
    /** Appends a record; `value` undefined removes the key. */
    write: (topic, key, value) =>
      append(
        topic,
        key,
        Buffer.from(value === undefined ? "" : JSON.stringify(value)),
      ),
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}

function encode({ key, value }) {
  const name = Buffer.from(key);
  const length = Buffer.alloc(lengthBytes);
  length.writeUInt32BE(1 + name.length + value.length);
  return Buffer.concat([length, Buffer.from([name.length]), name, value]);
}
