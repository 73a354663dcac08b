/** Observes whether any byte of an HTTP request may have been written. */
import type { Dispatcher } from "undici";

/** Set to true once bytes of a call may have left this process. */
export interface SendTracker {
  sent: boolean;
  /** Whether the call may still be written; asked immediately before. */
  readonly mayWrite?: () => boolean;
}

/** The call was not written, as what it was decided by no longer holds. */
export class OutdatedCallError extends Error {
  /** Creates the error; the message can reach a caller. */
  constructor() {
    super("the choice of the endpoint is out of date");
  }
}

/**
 * Interceptor that marks the tracker, passed as `opaque`, immediately before
 * the first byte of its request is written.
 */
export function observeSends(
  dispatch: Dispatcher.Dispatch,
): Dispatcher.Dispatch {
  return (options, handler) => {
    const { opaque } = options as { opaque?: SendTracker };
    return dispatch(options, opaque ? withTracker(handler, opaque) : handler);
  };
}

function withTracker(
  handler: Dispatcher.DispatchHandler,
  tracker: SendTracker,
): Dispatcher.DispatchHandler {
  return {
    onRequestStart: (controller, context) => {
      handler.onRequestStart?.(controller, context);
      if (tracker.mayWrite?.() === false) {
        controller.abort(new OutdatedCallError());
      }
      // undici drops an aborted request without writing it.
      if (!controller.aborted) tracker.sent = true;
    },
    onRequestUpgrade: (controller, status, headers, socket) =>
      handler.onRequestUpgrade?.(controller, status, headers, socket),
    onResponseStart: (controller, status, headers, message) =>
      handler.onResponseStart?.(controller, status, headers, message),
    onResponseData: (controller, chunk) =>
      handler.onResponseData?.(controller, chunk),
    onResponseEnd: (controller, trailers) =>
      handler.onResponseEnd?.(controller, trailers),
    onResponseError: (controller, error) =>
      handler.onResponseError?.(controller, error),
  };
}
