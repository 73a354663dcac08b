/** Numbered log events of the links between an instance and the endpoints, 890 to 899. */
import { type EventType, Severity } from "../../shared/index.ts";

/** Log events of lost and regained links, and of calls handed over because of them. */
export const linkEvents = {
  cut: {
    number: 890,
    severity: Severity.Warning,
    message: "instance is cut off from endpoints that answer its peers",
  },
  restored: {
    number: 891,
    severity: Severity.Info,
    message: "instance reaches endpoints again",
  },
  doubted: {
    number: 892,
    severity: Severity.Info,
    message: "no endpoint can be connected to; peers are awaited",
  },
} satisfies Record<string, EventType>;
