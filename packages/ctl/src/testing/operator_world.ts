/** An operator's directory, fleet and session, for tests. */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
  type Bundle,
  createExampleBundle,
  createSigningKey,
  ExampleFleet,
  type Member,
  MemberKind,
  MemberState,
  RecordKind,
  signBundle,
  type SignedBundle,
  type SigningKey,
  StreamName,
} from "@trefoildoor/core";
import { type ExitCode, runCommandLine } from "../index.ts";
import { createMemoryLog, type MemoryLog } from "./memory_log.ts";

/** One operator at work. */
export interface Operator {
  readonly directory: string;
  readonly key: SigningKey;
  readonly log: MemoryLog;
  /** The fleet's first bundle. */
  readonly first: Bundle;
  /** All that the operator typed and saw. */
  readonly session: string[];
  /** Results alone. */
  readonly printed: string[];
}

/** Files of a directory by name. */
export type Files = Readonly<Record<string, string>>;

const logAddress = "http://127.0.0.1:9";
/** Names of files in command lines, which lie in the operator's directory. */
const fileNames = /([a-z][a-z-]*\.(?:yaml|signed|key|html))/g;

/** Creates an operator with settings, a key and an empty log. */
export function createOperator(): Operator {
  const operator = {
    directory: mkdtempSync(join(tmpdir(), "trefoildoorctl-")),
    key: createSigningKey(),
    log: createMemoryLog(),
    first: createExampleBundle(ExampleFleet.Association),
    session: [],
    printed: [],
  };
  writeFiles(operator, {
    "ops.key": operator.key.privateKey,
    "trefoildoorctl.yaml": formatSettings([operator.key.publicKey]),
  });
  return operator;
}

/** Removes the operator's directory. */
export function removeOperator(operator: Operator): void {
  rmSync(operator.directory, { recursive: true });
}

/** Formats settings that trust some keys. */
export function formatSettings(publicKeys: readonly string[]): string {
  return [
    "author: aiko",
    `log: ${logAddress}`,
    `members: ${logAddress}`,
    "signing_keys:",
    ...publicKeys.map((key, index) => `  ops-${index}: ${key}`),
    "timeout_ms: 300",
  ].join("\n");
}

/** Runs one command line as the operator and returns its exit code. */
export async function runLine(
  operator: Operator,
  line: string,
  options: { readonly confirm?: () => Promise<boolean> } = {},
): Promise<ExitCode> {
  const words = line.replace(fileNames, `${operator.directory}/$1`)
    .match(/"[^"]*"|\S+/g) ?? [];
  const args = words.map((word) => word.replaceAll('"', ""));
  const settings = args.includes("--settings")
    ? []
    : ["--settings", getPath(operator, "trefoildoorctl.yaml")];
  operator.session.push(`$ trefoildoorctl ${line}`);
  const note = (text: string): void => {
    operator.session.push(text.replaceAll(`${operator.directory}/`, ""));
  };
  const close = (): Promise<void> => Promise.resolve();
  const code = await runCommandLine(
    ["node", "trefoildoorctl", ...args, ...settings],
    {
      environment: {},
      platform: {
        openLog: (address) => ({
          ...(address === logAddress ? operator.log : createLostLog()),
          close,
        }),
        openMembers: () => ({ listMembers, close }),
      },
      terminal: {
        print: (text) => {
          operator.printed.push(text);
          note(text);
        },
        report: note,
        ...options,
      },
    },
  );
  operator.session.push(`(exit ${code})`);
  return code;
}

/** Path of a file in the operator's directory. */
export function getPath(operator: Operator, name: string): string {
  return join(operator.directory, name);
}

/** Writes files into the operator's directory. */
export function writeFiles(
  operator: Pick<Operator, "directory">,
  files: Files,
): void {
  for (const [name, text] of Object.entries(files)) {
    writeFileSync(join(operator.directory, name), text);
  }
}

/** Reads a file of the operator's directory. */
export function readText(operator: Operator, name: string): string {
  return readFileSync(getPath(operator, name), "utf8");
}

/** Publishes a bundle as another operator with the same key. */
export function appendBundle(
  operator: Operator,
  bundle: Bundle,
): Promise<void> {
  return operator.log.appendRecords(StreamName.Control, [{
    kind: RecordKind.BundlePublished,
    signed: signAs(operator, bundle),
  }]);
}

/** Signs a bundle with the operator's key. */
export function signAs(operator: Operator, bundle: Bundle): SignedBundle {
  const { privateKey } = operator.key;
  return signBundle(bundle, { keyName: "ops-0", privateKey });
}

/** The next version of a bundle with an edit. */
export function copyBundle(
  bundle: Bundle,
  { author, edit }: {
    readonly author: string;
    readonly edit: (draft: Bundle) => void;
  },
): Bundle {
  const draft = structuredClone(bundle);
  edit(draft);
  const { version } = bundle;
  return { ...draft, version: version + 1, parent: version, author };
}

function createLostLog(): MemoryLog {
  const log = createMemoryLog();
  log.refuseReads();
  return log;
}

function listMembers(): Promise<readonly Member[]> {
  return Promise.resolve([{
    name: "engine-1",
    kind: MemberKind.Engine,
    state: MemberState.Leaving,
    failureDomain: "sapporo",
    address: "192.0.2.1:7000",
  }]);
}
