/** Commands that work on bundle files and change nothing in the fleet. */
import {
  type Bundle,
  createExampleBundle,
  ExampleFleet,
  formatBundle,
  rebaseBundle,
} from "@trefoildoor/core";
import {
  expectConsistent,
  findBundle,
  readBundleFile,
  signWithOwnKey,
} from "../bundle_sources.ts";
import type { Command, CommandCall } from "../command.ts";
import { CommandError, ExitCode } from "../exit_codes.ts";
import { writeOutput } from "../files.ts";
import { withFleet } from "../fleet.ts";
import { printResult } from "../output.ts";
import { readOperatorSettings } from "../settings.ts";

const fleets = Object.values(ExampleFleet);

/** Writes an example bundle to start from. */
export const initBundle: Command = {
  usage: "bundle init <fleet>",
  description: `Write an example bundle: ${fleets.join(" or ")}`,
  options: { "--out": "File to write; printed where absent" },
  example: "bundle init association --out bundle.yaml",
  run: (call) => {
    const fleet = fleets.find((name) => name === call.args[0]);
    if (!fleet) {
      throw new CommandError(
        `unknown fleet "${call.args[0]}": expected ${fleets.join(" or ")}`,
        ExitCode.BadInput,
      );
    }
    const { author } = call.flags;
    const bundle = createExampleBundle(fleet, author ? { author } : {});
    return sendBundle(call, bundle);
  },
};

/** Checks a bundle file. */
export const checkBundleFile: Command = {
  usage: "bundle check <file>",
  description: "Check a bundle file and list every fault",
  example: "bundle check bundle.yaml",
  run: (call) => {
    const path = call.args[0] ?? "";
    const bundle = readBundleFile(path);
    const engines = bundle.pools.flatMap((pool) => pool.engines);
    const data = {
      file: path,
      version: bundle.version,
      parent: bundle.parent,
      pools: bundle.pools.length,
      engines: engines.length,
      services: bundle.services.length,
      callers: bundle.callers.length,
    };
    const text = `${path}: version ${data.version} is valid: ` +
      `${data.pools} pools with ${data.engines} engines, ` +
      `${data.services} services, ${data.callers} callers`;
    printResult(call, { data, text });
    return Promise.resolve(ExitCode.Done);
  },
};

/** Signs a bundle file. */
export const signBundleFile: Command = {
  usage: "bundle sign <file>",
  description: "Sign off a bundle file",
  options: {
    "--out": "File to write; printed where absent",
    "--key-file": "File with the private signing key",
  },
  example: "bundle sign bundle.yaml --key-file ops.key --out bundle.signed",
  run: (call) => {
    const settings = readOperatorSettings(call.flags.settings);
    const bundle = readBundleFile(call.args[0] ?? "");
    const signed = signWithOwnKey(call, settings, { bundle });
    sendText(call, JSON.stringify(signed, null, 2) + "\n");
    return Promise.resolve(ExitCode.Done);
  },
};

/** Shows a bundle as an editable file. */
export const showBundle: Command = {
  usage: "bundle show [version]",
  description: "Show the bundle in force, or an earlier version, as YAML",
  options: { "--out": "File to write; printed where absent" },
  example: "bundle show --out bundle.yaml",
  run: (call) =>
    withFleet(call, async (fleet) => {
      const state = (await fleet.followControl()).getState();
      const name = call.args[0] ??
        String(state.bundle?.signed.bundle.version ?? 0);
      return sendBundle(call, await findBundle(fleet, state, { name }));
    }),
};

/** Carries a bundle's changes over to the version in force. */
export const rebaseBundleFile: Command = {
  usage: "bundle rebase <file>",
  description: "Carry a file's changes over to the version in force",
  options: {
    "--out": "File to write; printed where absent",
    "--base": "File of the version that it was made from",
  },
  example: "bundle rebase bundle.yaml --out rebased.yaml",
  run: (call) =>
    withFleet(call, async (fleet) => {
      const state = (await fleet.followControl()).getState();
      const bundle = readBundleFile(call.args[0] ?? "");
      const onto = state.bundle?.signed.bundle;
      if (!onto) {
        throw new CommandError("no bundle is in force", ExitCode.BadInput);
      }
      const name = call.flags.base ?? String(bundle.parent);
      const base = await findBundle(fleet, state, { name });
      const rebased = rebaseBundle(bundle, { base, onto }).mapLeft(
        (conflicts) =>
          new CommandError(
            conflicts.map(({ path, mine, theirs }) =>
              `${path}: you set ${JSON.stringify(mine)}, version ` +
              `${onto.version} by ${onto.author} set ${JSON.stringify(theirs)}`
            ).join("\n"),
            ExitCode.Refused,
          ),
      ).unsafeCoerce();
      expectConsistent(rebased, call.args[0] ?? "");
      return sendBundle(call, rebased);
    }),
};

function sendBundle(call: CommandCall, bundle: Bundle): Promise<ExitCode> {
  if (call.flags.json && call.flags.out === undefined) {
    printResult(call, { data: bundle, text: "" });
  } else {
    sendText(call, formatBundle(bundle));
  }
  return Promise.resolve(ExitCode.Done);
}

function sendText(call: CommandCall, text: string): void {
  const { out } = call.flags;
  if (out === undefined) return call.context.terminal.print(text.trimEnd());
  writeOutput(out, text);
  call.context.terminal.report(`written to ${out}`);
}
