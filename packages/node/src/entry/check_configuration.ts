/** Command that checks a routing configuration before it is written to the store. */
import { readFileSync } from "node:fs";
import {
  type ConfigurationChange,
  type ConfigurationFault,
  describeChanges,
  FaultSeverity,
  findFaults,
  formatConfigurationChange,
  formatCount,
  formatFinding,
} from "@trefoildoor/core";
import type { EntryPlatform } from "./platform.ts";

/** Options of the command line; `unknown` where it may hold a flag without a value. */
export interface CheckOptions {
  /** File with the configuration in force. */
  readonly against?: unknown;
  readonly json?: boolean;
  /** Arguments after the first. */
  readonly _?: readonly string[];
}

/** Result of a check. */
interface CheckResult {
  readonly findings: readonly ConfigurationFault[];
  /** Undefined without a configuration in force, or if one of the two does not decode. */
  readonly changes?: readonly ConfigurationChange[];
}

/** A file with a configuration. */
interface CheckedFile {
  readonly path: string;
  readonly bytes: Buffer;
}

type Platform = Pick<EntryPlatform, "readConfiguration">;

enum ExitCode {
  Done = 0,
  Errors = 1,
  Usage = 2,
}

const jsonIndent = 2;

/** Checks the file, prints the result and returns the exit code: 0 without errors, 1 with errors, 2 if there is nothing to check. */
export function runConfigurationCheck(
  file: string | undefined,
  options: CheckOptions & { readonly platform: Platform },
): number {
  const { against, json, platform } = options;
  const isComplete = against === undefined ||
    (typeof against === "string" && against !== "");
  if (!file || !isComplete || (options._ ?? []).length > 0) {
    console.error("Usage: check-configuration FILE [--against FILE] [--json]");
    return ExitCode.Usage;
  }
  let files: readonly CheckedFile[];
  try {
    files = [file, ...(against === undefined ? [] : [against])].map(openFile);
  } catch (error) {
    console.error(`File cannot be read: ${error}`);
    return ExitCode.Usage;
  }
  const result = checkFiles(files, platform);
  console.log(
    json
      ? JSON.stringify(result, null, jsonIndent)
      : formatResult(result, files),
  );
  return countFaults(result, FaultSeverity.Error) > 0
    ? ExitCode.Errors
    : ExitCode.Done;
}

function openFile(path: string): CheckedFile {
  return { path, bytes: readFileSync(path) };
}

/** Checks the first file against the second, if there is one. */
function checkFiles(
  files: readonly CheckedFile[],
  platform: Platform,
): CheckResult {
  const read = files.map(({ path, bytes }) =>
    platform.readConfiguration(bytes, path)
  );
  const refused = read.flatMap(({ findings }) => findings).map((finding) => ({
    severity: FaultSeverity.Error,
    ...finding,
  }));
  const [next, inForce] = read.map(({ configuration }) => configuration);
  if (!next) return { findings: refused };
  const source = files[0]?.path ?? "";
  return {
    findings: [...refused, ...findFaults(next, { source, inForce })],
    changes: inForce && describeChanges(inForce, next),
  };
}

function formatResult(
  result: CheckResult,
  files: readonly CheckedFile[],
): string {
  const { findings, changes } = result;
  const inForce = files[1]?.path;
  const errors = countFaults(result, FaultSeverity.Error);
  const counts = [
    formatCount(errors, "error"),
    formatCount(findings.length - errors, "warning"),
    ...(changes
      ? [`${formatCount(changes.length, "change")} from ${inForce}`]
      : []),
  ];
  return [
    ...findings.map((each) => `${each.severity}: ${formatFinding(each)}`),
    ...(changes ?? []).map(formatConfigurationChange),
    counts.join(", "),
  ].join("\n");
}

function countFaults(
  { findings }: CheckResult,
  severity: FaultSeverity,
): number {
  return findings.filter((each) => each.severity === severity).length;
}
