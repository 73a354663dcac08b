/**
 * Client of one connection that closes it after an error answer, and fails an
 * answer without a length whose connection was reset. A faulty server may write
 * a refusal once more before its next answer, and answers name no call, so no
 * later call may use the connection.
 */
import type { Socket } from "node:net";
import { findHeadFault } from "./answer_heads.ts";
import {
  boundedReads,
  buildInterimError,
  createInterimCounter,
  maxHeadBytes,
  recordProgress,
} from "./bounded_reads.ts";
import { watchResets } from "./connection_resets.ts";
import { buildConnector, Client, type Dispatcher } from "undici";

const firstFinal = 200;
const firstError = 400;

/** Creates the client of one connection of a pool; `timeoutMs` bounds the time to open it. */
export function createCarefulClient(
  origin: URL,
  options: Client.Options,
  { timeoutMs }: { readonly timeoutMs: number },
): Dispatcher {
  const connect = buildConnector({
    timeout: timeoutMs,
    ...boundedReads,
  });
  let socket: Socket | undefined;
  let wasReset = (): boolean => false;
  const client = new Client(origin, {
    ...options,
    maxHeaderSize: maxHeadBytes,
    connect: (target, callback) =>
      connect(target, (...result) => {
        socket = result[1] ?? undefined;
        // Before the client's own listeners, which take a reset for the regular
        // end of an answer without a length.
        if (socket) wasReset = watchResets(socket);
        callback(...result);
      }),
  });
  return client.compose((dispatch) => (request, handler) =>
    dispatch(
      request,
      closeAfterErrors(handler, {
        wasReset: () => wasReset(),
        recordProgress: () => void (socket && recordProgress(socket)),
        // Before the client sends the next call.
        close: () => void socket?.destroy(),
      }),
    )
  );
}

function closeAfterErrors(
  handler: Dispatcher.DispatchHandler,
  { close, wasReset, recordProgress }: {
    readonly close: () => void;
    readonly recordProgress: () => void;
    readonly wasReset: () => boolean;
  },
): Dispatcher.DispatchHandler {
  let failed = false;
  const countInterim = createInterimCounter();
  return {
    onRequestStart: (controller, context) => {
      recordProgress();
      handler.onRequestStart?.(controller, context);
    },
    onRequestUpgrade: (controller, status, headers, socket) =>
      handler.onRequestUpgrade?.(controller, status, headers, socket),
    onResponseStart: (controller, status, headers, message) => {
      const encoding = headers["transfer-encoding"];
      const fault = findHeadFault(status, encoding && String(encoding));
      if (fault !== undefined) return controller.abort(new Error(fault));
      if (!countInterim(status)) return controller.abort(buildInterimError());
      if (status >= firstFinal) recordProgress();
      failed = status >= firstError;
      handler.onResponseStart?.(controller, status, headers, message);
    },
    onResponseData: (controller, chunk) => {
      recordProgress();
      handler.onResponseData?.(controller, chunk);
    },
    onResponseEnd: (controller, trailers) => {
      if (wasReset()) {
        const error = new Error("answer was cut off by a reset");
        return handler.onResponseError?.(controller, error);
      }
      handler.onResponseEnd?.(controller, trailers);
      if (failed) close();
    },
    onResponseError: (controller, error) =>
      handler.onResponseError?.(controller, error),
  };
}
