/** Consumers: one request on a new or a kept channel. */
import { Agent, request as open } from "node:http";
import { randomBytes } from "node:crypto";
import { connect } from "node:net";

/** Agent that keeps one channel open. */
export function createChannel() {
  return new Agent({ keepAlive: true, maxSockets: 1 });
}

/** Sends one request; resolves to its status and body, or to the error of its channel. */
export function send(entry, options) {
  const { path, method = "POST", body = "x", agent } = options;
  const { deadlineMs = 3_000, extra } = options;
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
      response.on("data", (chunk) => chunks.push(chunk));
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

/** Sends one request on a new channel and reads nothing for `stallMs`, then the rest; resolves to the status and the length of the body. */
export function sendUnread(entry, { path, deadlineMs, stallMs }) {
  const id = randomBytes(8).toString("hex");
  const sentMs = performance.now();
  const socket = connect({ host: entry.front.host, port: entry.front.port });
  socket.write([
    `POST ${path} HTTP/1.1`,
    "host: calls.example",
    `attempt-id: ${id}`,
    `deadline-ms: ${deadlineMs}`,
    "content-length: 1",
    "connection: close",
    "",
    "x",
  ].join("\r\n"));
  return new Promise((done) => {
    const chunks = [];
    let error;
    socket.on("error", (failure) => {
      error = failure.message;
    });
    setTimeout(
      () => socket.on("data", (chunk) => chunks.push(chunk)),
      stallMs,
    );
    socket.on("close", () => {
      const text = Buffer.concat(chunks).toString("latin1");
      const headEnd = text.indexOf("\r\n\r\n") + 4;
      const length = /content-length: (\d+)/i.exec(text)?.[1];
      done({
        id,
        sentMs,
        endMs: performance.now(),
        status: Number(text.slice(9, 12)),
        error,
        bytes: text.length - headEnd,
        complete: text.length - headEnd === Number(length),
      });
    });
  });
}
