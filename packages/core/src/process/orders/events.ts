/** Log events of drains and orders; drains, orders and rollouts have numbers 300 to 339. */
import { type EventType, Severity } from "../../shared/index.ts";

/** Log events of drains and orders, by name. */
export const orderEvents = {
  drainOpened: {
    number: 300,
    severity: Severity.Info,
    message: "engine drain opened before a change",
  },
  drainUnconfirmed: {
    number: 301,
    severity: Severity.Warning,
    message:
      "drain timed out waiting for instances to confirm; change continues",
  },
  orderOpened: {
    number: 302,
    severity: Severity.Info,
    message: "order to an engine was admitted",
  },
  orderClosed: {
    number: 303,
    severity: Severity.Info,
    message: "order to an engine is closed",
  },
  orderUnanswered: {
    number: 304,
    severity: Severity.Warning,
    message: "order to an engine got no answer",
  },
  orderWaiting: {
    number: 305,
    severity: Severity.Warning,
    message:
      "change waits until an earlier order is closed; engine keeps its state",
  },
  recordRetried: {
    number: 306,
    severity: Severity.Warning,
    message:
      "record of the end of an order or drain was not appended; retrying",
  },
  instanceGone: {
    number: 307,
    severity: Severity.Warning,
    message: "instance left the platform's list and was recorded as stopped",
  },
} satisfies Record<string, EventType>;
