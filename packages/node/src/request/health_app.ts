/** Handlers that tell the platform's balancer about the instance. */
import { BodyKind, type GatewayApp } from "../connection/gateway.ts";
import { sendJson } from "../connection/responses.ts";

/** What the instance says of itself. */
export interface Health {
  readonly ready: boolean;
  /** Why the instance is not ready. */
  readonly reason?: string;
  readonly instance: string;
  readonly failureDomain: string;
  /** Bundle version in force, 0 before the first. */
  readonly version: number;
}

/** Creates the app with `/healthz` and `/readyz`. */
export function createHealthApp(getHealth: () => Health): GatewayApp {
  return {
    path: "/",
    body: BodyKind.Text,
    handlers: {
      "GET healthz": (_request, response) => sendJson(response, getHealth()),
      "GET readyz": (_request, response) => {
        const health = getHealth();
        sendJson(response, health, { status: health.ready ? 200 : 503 });
      },
    },
  };
}
