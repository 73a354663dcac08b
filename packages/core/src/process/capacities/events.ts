/** Numbered log events of what endpoints take well, 960 to 969. */
import { type EventType, Severity } from "../../shared/index.ts";

/** Log events of learnt figures of endpoints. */
export const capacityEvents = {
  slownessChanged: {
    number: 960,
    severity: Severity.Info,
    message: "endpoint is held to be slower or quicker than before",
  },
} satisfies Record<string, EventType>;
