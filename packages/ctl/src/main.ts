/** Entry point of `trefoildoorctl`. */
import process from "node:process";
import { createInterface } from "node:readline/promises";
import { openLogService, openMemberList } from "@trefoildoor/core";
import { runCommandLine } from "./command_line.ts";
import type { Platform, Terminal } from "./command.ts";
import { ExitCode } from "./exit_codes.ts";

const platform: Platform = {
  openLog: (address) => openLogService({ address: new URL(address).host }),
  openMembers: (address) => openMemberList({ address: new URL(address).host }),
};

const terminal: Terminal = {
  print: (text) => console.log(text),
  report: (text) => console.error(text),
  ...(process.stdin.isTTY && { confirm: confirmOnTerminal }),
};

async function confirmOnTerminal(question: string): Promise<boolean> {
  const lines = createInterface({
    input: process.stdin,
    output: process.stderr,
  });
  try {
    const answer = await lines.question(`${question} [y/N] `);
    return /^y(es)?$/i.test(answer.trim());
  } finally {
    lines.close();
  }
}

async function main(): Promise<void> {
  let isParsed = false;
  // Faulty arguments make sade end the process with 1, which here means that a
  // service could not be reached.
  process.once("exit", () => {
    if (!isParsed) process.exitCode = ExitCode.BadInput;
  });
  const ending = runCommandLine(process.argv, {
    terminal,
    platform,
    environment: process.env,
  });
  isParsed = true;
  process.exitCode = await ending;
}

await main();
