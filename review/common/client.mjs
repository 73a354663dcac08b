/** Consumers: one request on a new or a kept channel. */
import { Agent, request as open } from "node:http";
import { randomBytes } from "node:crypto";

/** Agent that keeps one channel open. */
export function createChannel() {
  return new Agent({ keepAlive: true, maxSockets: 1 });
}

/** Sends one request; resolves to its status and body, or to the error of its channel. */
export function send(entry, options) {
  const { path, method = "POST", body = "x", agent } = options;
  const { deadlineMs = 3_000, stallMs = 0, extra } = options;
  const id = randomBytes(8).toString("hex");
  const sentMs = performance.now();
  return new Promise((done) => {
    const finish = (result) =>
      done({
        id,
        entry: entry.name,
        sentMs,
        endMs: performance.now(),
        ...result,
      });
    const request = open({
      ...entry.front,
      path,
      method,
      agent,
      headers: {
        host: "calls.example",
        "attempt-id": id,
        "deadline-ms": String(deadlineMs),
        ...extra,
      },
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => {
        if (chunks.length === 0 && stallMs > 0) {
          response.pause();
          setTimeout(() => response.resume(), stallMs);
        }
        chunks.push(chunk);
      });
      response.on("error", (error) =>
        finish({
          status: response.statusCode,
          error: error.message,
          bytes: chunks.reduce((sum, { length }) => sum + length, 0),
        }));
      response.on("end", () =>
        finish({
          status: response.statusCode,
          stamp: response.headers["server-stamp"],
          body: Buffer.concat(chunks).toString(),
        }));
    });
    request.on("error", (error) => finish({ error: error.message }));
    request.end(method === "GET" ? undefined : body);
  });
}
