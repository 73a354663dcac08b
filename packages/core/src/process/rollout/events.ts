/** Events of rollouts and role changes, 340 to 359. */
import { type EventType, Severity } from "../../shared/index.ts";

/** Numbered events of rollouts and role changes. */
export const rolloutEvents = {
  stepEnded: {
    number: 340,
    severity: Severity.Info,
    message: "rollout step of an engine ended",
  },
  rolloutHalted: {
    number: 341,
    severity: Severity.Error,
    message: "rollout stopped after a step because of failures",
  },
  roleChanged: {
    number: 342,
    severity: Severity.Info,
    message: "role change of an engine ended",
  },
  poolFailed: {
    number: 343,
    severity: Severity.Warning,
    message: "change of a pool failed and is retried",
  },
  rolloutBlocked: {
    number: 344,
    severity: Severity.Warning,
    message: "rollout is blocked; no engine is changed",
  },
} satisfies Record<string, EventType>;
