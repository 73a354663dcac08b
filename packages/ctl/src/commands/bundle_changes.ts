/** Commands that publish bundles. */
import {
  type Bundle,
  type BundleEntry,
  BundleRejection,
  type ControlState,
  diffBundles,
  formatChange,
  RecordKind,
  rollBackBundle,
  type SignedBundle,
} from "@trefoildoor/core";
import {
  expectConsistent,
  expectTrusted,
  findBundle,
  readSignedBundle,
  signWithOwnKey,
} from "../bundle_sources.ts";
import { appendChange, expectConfirmation } from "../changes.ts";
import type { Command, CommandCall } from "../command.ts";
import { CommandError, ExitCode } from "../exit_codes.ts";
import { type Fleet, withFleet } from "../fleet.ts";
import { printResult } from "../output.ts";
import { formatBundleName } from "../views/describe_bundles.ts";

/** Publishes a signed bundle. */
export const publishBundle: Command = {
  usage: "bundle publish <file>",
  description: "Publish a signed bundle, which the fleet then rolls out",
  example: "bundle publish bundle.signed",
  run: (call) =>
    withFleet(call, (fleet) => {
      const signed = readSignedBundle(call.args[0] ?? "");
      expectTrusted(signed, fleet.settings);
      return appendBundle(call, fleet, { signed });
    }),
};

/** Publishes old content under a new version. */
export const rollBack: Command = {
  usage: "bundle rollback <version>",
  description: "Publish the content of an earlier version, or of a file",
  options: {
    "--key-file": "File with the private signing key",
    "--note": "Why; shown in the history",
  },
  example: "bundle rollback 3 --key-file ops.key",
  run: (call) =>
    withFleet(call, async (fleet) => {
      const state = (await fleet.followControl()).getState();
      const inForce = state.bundle?.signed.bundle;
      if (!inForce) {
        throw new CommandError("no bundle is in force", ExitCode.BadInput);
      }
      const name = call.args[0] ?? "";
      const old = await findBundle(fleet, state, { name });
      const { note } = call.flags;
      const bundle = rollBackBundle(old, {
        inForce,
        author: call.flags.author ?? fleet.settings.author,
        ...(note !== undefined && { note }),
      });
      expectConsistent(bundle, name);
      const signed = signWithOwnKey(call, fleet.settings, { bundle });
      return appendBundle(call, fleet, { signed });
    }),
};

async function appendBundle(
  call: CommandCall,
  fleet: Fleet,
  { signed }: { readonly signed: SignedBundle },
): Promise<ExitCode> {
  const control = await fleet.followControl();
  const { bundle } = signed;
  const inForce = control.getState().bundle?.signed.bundle;
  if (bundle.parent !== (inForce?.version ?? 0)) {
    throw buildRaceError(bundle, control.getState());
  }
  await expectConfirmation(call, describePublication(inForce, bundle));
  const [position = 0] = await appendChange(call, control, {
    records: [{ kind: RecordKind.BundlePublished, signed }],
    lookUp: "bundle history",
  });
  const state = control.getState();
  const entry = state.history.find((found) => found.position === position);
  if (!entry || entry.rejection !== undefined) {
    throw buildRejection(bundle, state, { entry });
  }
  const { version, author } = bundle;
  printResult(call, {
    data: { version, author, position, result: "accepted" },
    text:
      `version ${version} is accepted; watch it with: trefoildoorctl rollout`,
  });
  return ExitCode.Done;
}

function describePublication(
  inForce: Bundle | undefined,
  bundle: Bundle,
): string {
  const changes = inForce ? diffBundles(inForce, bundle) : [];
  const lines = changes.map((change) => `  ${formatChange(change)}`);
  const head = inForce
    ? `version ${bundle.version} replaces ${formatBundleName(inForce)}:`
    : `version ${bundle.version} is the first bundle of this fleet`;
  const none = inForce && lines.length === 0 ? ["  no changes"] : [];
  return [head, ...none, ...lines].join("\n");
}

function buildRejection(
  bundle: Bundle,
  state: ControlState,
  { entry }: { readonly entry?: BundleEntry },
): CommandError {
  if (entry?.rejection === BundleRejection.StaleParent) {
    return buildRaceError(bundle, state);
  }
  return new CommandError(
    `version ${bundle.version} was not accepted: ${
      entry?.rejection ?? "no reader counted it"
    }; nothing was changed`,
    ExitCode.Refused,
  );
}

/** Tells an operator who was first and how to go on. */
function buildRaceError(bundle: Bundle, state: ControlState): CommandError {
  const inForce = state.bundle?.signed.bundle;
  if (!inForce) {
    return new CommandError(
      `version ${bundle.version} replaces version ${bundle.parent}, but no bundle is in force; nothing was changed`,
      ExitCode.Refused,
    );
  }
  const winner = state.history.findLast((entry) =>
    entry.version === inForce.version && entry.rejection === undefined
  );
  const lines = [
    `${formatBundleName(inForce, winner?.timeMs)} is in force; ` +
    `yours replaces version ${bundle.parent}; nothing was changed`,
    "see what is different:  trefoildoorctl bundle diff FILE",
    "carry your changes over: trefoildoorctl bundle rebase FILE --out NEW",
    "then check, sign and publish the new file",
  ];
  return new CommandError(lines.join("\n"), ExitCode.Refused);
}
