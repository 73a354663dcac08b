/** Events of drains, orders and rollouts, 300 to 339. */
import { type EventType, Severity } from "../../shared/index.ts";

/** Numbered events of drains and orders. */
export const orderEvents = {
  drainOpened: {
    number: 300,
    severity: Severity.Info,
    message: "engine is drained before a change",
  },
  silentInstances: {
    number: 301,
    severity: Severity.Warning,
    message: "change goes on without the confirmation of silent instances",
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
    message: "engine keeps its state until an earlier order is closed",
  },
  recordRetried: {
    number: 306,
    severity: Severity.Warning,
    message: "end of an order is not in the log and is tried again",
  },
  instanceGone: {
    number: 307,
    severity: Severity.Warning,
    message: "instance left the platform's list and is taken as stopped",
  },
} satisfies Record<string, EventType>;
