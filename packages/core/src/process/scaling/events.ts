/** Numbered events of orders for endpoints, 940 to 949. */
import { type EventType, Severity } from "../../shared/index.ts";

/** Event types of orders for endpoints; each number is used once. */
export const scalingEvents = {
  needChanged: {
    number: 940,
    severity: Severity.Info,
    message: "number of endpoints that the load needs has changed",
  },
  ordered: {
    number: 941,
    severity: Severity.Info,
    message: "number of endpoints was ordered",
  },
  notOrdered: {
    number: 942,
    severity: Severity.Warning,
    message: "order for endpoints was not accepted or not answered",
  },
  seen: {
    number: 943,
    severity: Severity.Info,
    message: "ordered number of endpoints is listed",
  },
  contradicted: {
    number: 944,
    severity: Severity.Warning,
    message: "list of endpoints contradicts an order; it is sent again",
  },
} satisfies Record<string, EventType>;
