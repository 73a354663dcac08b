/** Health check handlers for the platform's load balancer. */
import { BodyKind, type GatewayApp } from "../connection/gateway.ts";
import { sendJson } from "../connection/responses.ts";

/** Health of the instance; the body of both answers. */
export interface Health {
  readonly ready: boolean;
  /** Why the instance is not ready. */
  readonly reason?: string;
  readonly instance: string;
  readonly failureDomain: string;
  /** Bundle version in force, 0 before the first. */
  readonly version: number;
}

/** Creates the app with `/healthz`, which always answers 200, and `/readyz`, which answers 503 while not ready. */
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
