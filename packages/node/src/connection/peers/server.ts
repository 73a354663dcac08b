/** Listener for other instances. */
import { createServer, type RequestListener, type Server } from "node:http";
import { createServer as createTlsServer } from "node:https";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import {
  type Environment,
  readSecret,
  type Settings,
} from "../../settings/index.ts";
import {
  createPeerContext,
  createPeerRouter,
  type PeerServerDependencies,
} from "./router.ts";

const maxPeerBodyBytes = 16 * 1_048_576;

/** A listener for other instances; closing it also closes its open connections. */
export interface PeerServer {
  /** Address as `host:port`. */
  readonly address: string;
  readonly close: () => Promise<void>;
}

/** Starts listening for other instances; rejects when the address cannot be bound. */
export async function openPeerServer(
  settings: Settings["peers"],
  options: {
    readonly dependencies: PeerServerDependencies;
    readonly environment: Environment;
    readonly onRefused: () => void;
  },
): Promise<PeerServer> {
  const handler = createHTTPHandler({
    router: createPeerRouter(options.dependencies),
    createContext: createPeerContext(
      readSecret(settings.key, options.environment),
      options.onRefused,
    ),
    maxBodySize: maxPeerBodyBytes,
  });
  const server = buildServer(settings, {
    handler,
    environment: options.environment,
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(settings.port, settings.host, resolve);
  });
  const address = server.address();
  const port = typeof address === "object" && address
    ? address.port
    : settings.port;
  return {
    address: `${settings.host}:${port}`,
    close: () => closeServer(server),
  };
}

function buildServer(
  settings: Settings["peers"],
  options: {
    readonly handler: RequestListener;
    readonly environment: Environment;
  },
): Server {
  const { tls } = settings;
  if (!tls) return createServer(options.handler);
  return createTlsServer({
    cert: readSecret(tls.certificate, options.environment),
    key: readSecret(tls.private_key, options.environment),
  }, options.handler);
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
