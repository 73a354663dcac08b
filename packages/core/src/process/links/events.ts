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
  handedOver: {
    number: 893,
    severity: Severity.Info,
    message: "call is handed over to a peer, as this instance is cut off",
  },
  handOverFailed: {
    number: 894,
    severity: Severity.Warning,
    message: "peer did not take or did not answer a call in full",
  },
  taken: {
    number: 895,
    severity: Severity.Info,
    message: "call of a peer is taken over",
  },
  strangerRefused: {
    number: 896,
    severity: Severity.Warning,
    message: "call is not taken over: it does not come from a known instance",
  },
} satisfies Record<string, EventType>;
