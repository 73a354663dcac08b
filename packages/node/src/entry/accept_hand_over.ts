/** Runs calls that peers hand over because they are cut off from the endpoints. */
import { timingSafeEqual } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { type CallerAnswer, linkEvents, runForward } from "@trefoildoor/core";
import { confirmConfiguration } from "./confirm_configuration.ts";
import { entryEvents } from "./events.ts";
import { type CallerRequest, createAnswer, readBody } from "./front_server.ts";
import { LinkHeader, pickPassedHeaders } from "./hand_over_wire.ts";
import type { Running } from "./running.ts";

/** Takes calls from peers. */
export interface HandOverServer {
  /** Whether the request is one; it is answered if so. */
  readonly accept: (
    request: IncomingMessage,
    response: ServerResponse,
  ) => boolean;
  /** Number of handed-over calls that are not answered yet. */
  readonly countOpen: () => number;
}

/** Handed-over calls that run at a time, of all peers. */
const maxOpen = 64;
/** Longest age that a peer can state, in ms. */
const maxAgeMs = 600_000;
const forbidden = 403;
const badRequest = 400;
const unavailable = 503;

/** Creates the server side; `key` is the one that digests tell the peers. */
export function createHandOverServer(
  running: Running,
  key: string,
): HandOverServer {
  const { fleet, links, state, options, dependencies } = running;
  let open = 0;

  /** Whether the request comes from a known instance that has heard this one's digests. */
  function isFromPeer(request: IncomingMessage): boolean {
    const stated = Buffer.from(readHeader(request, LinkHeader.Key) ?? "");
    const expected = Buffer.from(key);
    const knows = stated.length === expected.length &&
      timingSafeEqual(stated, expected);
    const ip = request.socket.remoteAddress?.replace(/^::ffff:/, "");
    return knows &&
      fleet.peers.listRegistered().some(({ address }) =>
        address.split(":")[0] === ip
      );
  }

  function findRefusal(): string | undefined {
    if (state.stopping) return "stopping";
    if (links.isCut()) return "cut off as well";
    if (!fleet.getVersion()) return "no configuration";
    return open >= maxOpen ? "too many calls" : undefined;
  }

  async function runCall(
    request: IncomingMessage,
    { response, answer }: {
      readonly response: ServerResponse;
      readonly answer: CallerAnswer;
    },
  ): Promise<void> {
    const receivedMs = performance.now();
    const version = fleet.getVersion();
    const body = version &&
      await readBody(request, version.limits.maxBodyBytes);
    const call = body && options.platform.codec.decodeCall(
      buildRequest(request, body, { receivedMs }),
    );
    if (!call) return void response.writeHead(badRequest).end();
    await confirmConfiguration(running, call);
    options.logEvent(linkEvents.taken, {
      call: call.id,
      instance: readHeader(request, LinkHeader.From),
      ageMs: Math.round(receivedMs - call.receivedMs),
      open,
    });
    await runForward(call, fleet.getVersion() ?? version, {
      answer,
      parts: dependencies,
    });
  }

  return {
    countOpen: () => open,
    accept(request, response): boolean {
      if (readHeader(request, LinkHeader.Key) === undefined) return false;
      const tryId = readHeader(request, LinkHeader.Try);
      if (tryId !== undefined) response.setHeader(LinkHeader.Try, tryId);
      if (!isFromPeer(request)) {
        options.logEvent(linkEvents.strangerRefused, {
          from: request.socket.remoteAddress,
        });
        request.resume();
        // A peer with the key of a former start asks another instance.
        response.writeHead(forbidden, {
          connection: "close",
          [LinkHeader.Refused]: "unknown key or sender",
        }).end();
        return true;
      }
      const refusal = findRefusal();
      if (refusal !== undefined) {
        request.resume();
        response.writeHead(unavailable, { [LinkHeader.Refused]: refusal })
          .end();
        return true;
      }
      open += 1;
      response.once("close", () => open -= 1);
      const answer = createAnswer(response, {
        isLeaving: () => false,
        unframedHeader: LinkHeader.Unframed,
        leavingHeader: LinkHeader.Leaving,
      });
      runCall(request, { response, answer }).catch((error: unknown) => {
        if (request.destroyed && !response.writable) return;
        options.logEvent(entryEvents.handlerFailed, { error: String(error) });
        answer.cut();
      });
      return true;
    },
  };
}

function buildRequest(
  request: IncomingMessage,
  body: Buffer,
  { receivedMs }: { readonly receivedMs: number },
): CallerRequest {
  const stated = Number(readHeader(request, LinkHeader.AgeMs) ?? 0);
  const ageMs = Number.isFinite(stated)
    ? Math.min(Math.max(stated, 0), maxAgeMs)
    : 0;
  return {
    method: request.method ?? "GET",
    target: request.url ?? "/",
    host: request.headers.host ?? "",
    headers: pickPassedHeaders(request.rawHeaders),
    body,
    receivedMs: receivedMs - ageMs,
  };
}

function readHeader(
  { headers }: IncomingMessage,
  name: LinkHeader,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}
