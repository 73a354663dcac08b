/** Starts and ends the child process with the stand-ins. */
import { fork } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import type { HostAddresses } from "./standin_host.ts";

/** A running host of stand-ins. */
export interface StandinHost extends HostAddresses {
  readonly close: () => Promise<void>;
}

/** Starts a log stand-in and some engine stand-ins in a process of their own. */
export async function openStandinHost(engines: number): Promise<StandinHost> {
  const path = fileURLToPath(new URL("./standin_host.js", import.meta.url));
  const child = fork(path, [String(engines)]);
  const [addresses] = await once(child, "message") as [HostAddresses];
  return {
    ...addresses,
    close: async () => {
      const exit = once(child, "exit");
      child.disconnect();
      await exit;
    },
  };
}
