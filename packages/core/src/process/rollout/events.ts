/** Events of rollouts and role changes, 340 to 359. */
import { type EventType, Severity } from "../../shared/index.ts";

/** Numbered events of rollouts and role changes. */
export const rolloutEvents = {
  stepEnded: {
    number: 340,
    severity: Severity.Info,
    message: "step of a rollout has ended",
  },
  rolloutHalted: {
    number: 341,
    severity: Severity.Error,
    message: "rollout stopped because a step made things worse",
  },
  roleChanged: {
    number: 342,
    severity: Severity.Info,
    message: "role change of an engine has ended",
  },
  poolFailed: {
    number: 343,
    severity: Severity.Warning,
    message: "change of a pool was broken off and is tried again",
  },
  rolloutBlocked: {
    number: 344,
    severity: Severity.Warning,
    message: "rollout waits and changes no engine",
  },
} satisfies Record<string, EventType>;
