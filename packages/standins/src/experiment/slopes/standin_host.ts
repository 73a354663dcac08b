/**
 * Child process that runs stand-ins, so that their processor time is not
 * counted as a node's. Started by `openStandinHost` alone.
 */
import process from "node:process";
import { type Member, MemberKind, MemberState } from "@trefoildoor/core";
import { startMemberListStandin } from "../../member_list/index.ts";
import { startLogStandin } from "../../log_service/index.ts";
import { startEngineStandin } from "../../model_engine/index.ts";
import { formatEngine } from "./fleet_sizes.ts";

/** Addresses of the stand-ins of a host. */
export interface HostAddresses {
  readonly log: string;
  /** Lists of processes by their length. */
  readonly lists: readonly {
    readonly size: number;
    readonly address: string;
  }[];
  readonly engines: readonly string[];
}

const listSizes = [100, 700, 2_810];

function listMembers(size: number): readonly Member[] {
  return Array.from({ length: size }, (_, index) => ({
    name: formatEngine(index),
    kind: MemberKind.Engine,
    state: MemberState.Live,
    failureDomain: `domain-${index % 17}`,
    address: `10.${index >> 8}.0.${index & 255}:7000`,
  }));
}

async function main(): Promise<void> {
  const count = Number(process.argv[2] ?? 0);
  const log = await startLogStandin();
  const engines = await Promise.all(
    Array.from({ length: count }, () => startEngineStandin()),
  );
  const lists = await Promise.all(listSizes.map(async (size) => ({
    size,
    address: (await startMemberListStandin({ members: listMembers(size) }))
      .address,
  })));
  const addresses: HostAddresses = {
    log: log.address,
    lists,
    engines: engines.map(({ address }) => address),
  };
  process.send?.(addresses);
  process.on("disconnect", () => process.exit());
}

await main();
