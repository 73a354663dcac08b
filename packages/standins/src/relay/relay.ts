/** Fault-injecting TCP relay in front of one address. */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { createRandom } from "../shared/index.ts";
import {
  createLinkFaults,
  type Link,
  type LinkFaults,
  startLink,
} from "./link.ts";

/** Direction of bytes through the relay. */
export enum Direction {
  /** From whoever connected towards the target. */
  ToTarget = "to_target",
  FromTarget = "from_target",
}

/** What happens to a new connection. */
export enum NewConnections {
  Relay = "relay",
  /** Cut at once. */
  Cut = "cut",
  /** Accepted, but nothing is ever answered. */
  Hang = "hang",
}

/** Connections that a change applies to. */
export enum Scope {
  /** Only connections that are open now. */
  Open = "open",
  /** Only connections that are opened from now on. */
  New = "new",
  All = "all",
}

/** Faults of both directions. */
export type ConnectionFaults = Readonly<Record<Direction, LinkFaults>>;

/** A relayed connection. */
export interface RelayedConnection {
  readonly faults: ConnectionFaults;
  /** Resets both sides. */
  readonly cut: () => void;
  /** Closes the target's side without a word to the other one, which stays open. */
  readonly halfOpen: () => void;
}

/** A running relay. */
export interface Relay {
  /** Address to connect to instead of the target. */
  readonly address: string;
  /** Changes the faults of one direction, or of both when it is left out. */
  readonly setFaults: (
    change: Partial<LinkFaults>,
    options?: { readonly scope?: Scope; readonly direction?: Direction },
  ) => void;
  readonly setNewConnections: (mode: NewConnections) => void;
  readonly setTarget: (address: string) => void;
  readonly listConnections: () => readonly RelayedConnection[];
  /** Resets every open connection and returns their number. */
  readonly cutAll: () => number;
  readonly halfOpenAll: () => number;
  /** Ends all faults for new connections and lifts those of open ones. */
  readonly clear: () => void;
  readonly countConnections: () => number;
  readonly close: () => Promise<void>;
}

/** Settings of a relay. */
export interface RelayOptions {
  /** Address that is relayed to. */
  readonly target: string;
  /** Seed of jitter and loss. */
  readonly seed?: number;
}

interface OpenConnection extends RelayedConnection {
  readonly links: readonly Link[];
}

const host = "127.0.0.1";
const defaultSeed = 1;

/** Starts a relay on a free port of 127.0.0.1. */
export async function startRelay(options: RelayOptions): Promise<Relay> {
  const random = createRandom(options.seed ?? defaultSeed);
  const open = new Set<OpenConnection>();
  const sockets = new Set<Socket>();
  let defaults = createConnectionFaults();
  let mode = NewConnections.Relay;
  let target = options.target;
  let accepted = 0;

  const keepSocket = (socket: Socket): void => {
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => socket.destroy());
    socket.once("close", () => sockets.delete(socket));
  };
  const handleConnection = (source: Socket): void => {
    accepted++;
    keepSocket(source);
    if (mode === NewConnections.Cut) source.resetAndDestroy();
    if (mode === NewConnections.Hang) source.resume();
    if (mode !== NewConnections.Relay) return;
    const [targetHost, port] = target.split(":");
    const sink = connect({
      host: targetHost,
      port: Number(port),
      allowHalfOpen: true,
    });
    keepSocket(sink);
    const connection = openConnection(source, sink, {
      faults: structuredClone(defaults),
      random,
    });
    open.add(connection);
    source.once("close", () => {
      open.delete(connection);
      sink.destroy();
    });
  };
  const setFaults: Relay["setFaults"] = (change, { scope, direction } = {}) => {
    const directions = direction ? [direction] : Object.values(Direction);
    const affected: ConnectionFaults[] = [];
    if (scope !== Scope.New) {
      affected.push(...[...open].map(({ faults }) => faults));
    }
    if (scope !== Scope.Open) affected.push(defaults);
    for (const faults of affected) {
      for (const key of directions) Object.assign(faults[key], change);
    }
    for (const { links } of open) links.forEach((link) => link.flush());
  };
  const server = createServer({ allowHalfOpen: true }, handleConnection);
  await new Promise<void>((resolve) => server.listen(0, host, resolve));
  const { port } = server.address() as AddressInfo;
  return {
    address: `${host}:${port}`,
    setFaults,
    setNewConnections: (value) => {
      mode = value;
    },
    setTarget: (address) => {
      target = address;
    },
    listConnections: () => [...open],
    cutAll: () => runOnAll(open, (connection) => connection.cut()),
    halfOpenAll: () => runOnAll(open, (connection) => connection.halfOpen()),
    clear: () => {
      mode = NewConnections.Relay;
      defaults = createConnectionFaults();
      setFaults(createLinkFaults(), { scope: Scope.Open });
    },
    countConnections: () => accepted,
    close: async () => {
      const closed = new Promise((resolve) => server.close(resolve));
      for (const socket of sockets) socket.destroy();
      await closed;
    },
  };
}

function createConnectionFaults(): ConnectionFaults {
  return {
    [Direction.ToTarget]: createLinkFaults(),
    [Direction.FromTarget]: createLinkFaults(),
  };
}

function openConnection(
  source: Socket,
  sink: Socket,
  options: {
    readonly faults: ConnectionFaults;
    readonly random: () => number;
  },
): OpenConnection {
  const { faults, random } = options;
  let silent = false;
  const links = [
    startLink(source, sink, {
      getFaults: () => faults[Direction.ToTarget],
      random,
    }),
    startLink(sink, source, {
      getFaults: () => faults[Direction.FromTarget],
      random,
    }),
  ];
  const isBlackholed = (): boolean => faults[Direction.FromTarget].blackhole;
  sink.once("close", (hadError) => {
    // A forgotten connection tells the other side nothing.
    if (!hadError || silent || isBlackholed()) return;
    // After a regular end, a part without a length would look whole.
    if (sink.bytesRead > 0) source.resetAndDestroy();
    else source.destroy();
  });
  source.once("close", () => links.forEach((link) => link.close()));
  return {
    faults,
    links,
    cut: () => {
      source.resetAndDestroy();
      sink.resetAndDestroy();
    },
    halfOpen: () => {
      silent = true;
      for (const direction of Object.values(Direction)) {
        faults[direction].blackhole = true;
      }
      sink.resetAndDestroy();
      source.resume();
    },
  };
}

function runOnAll(
  connections: ReadonlySet<OpenConnection>,
  apply: (connection: OpenConnection) => void,
): number {
  const all = [...connections];
  all.forEach(apply);
  return all.length;
}
