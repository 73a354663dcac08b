/** Bundles from files, from the log and their signing. */
import {
  type Bundle,
  type BundleEntry,
  checkBundle,
  type ControlState,
  derivePublicKey,
  type Finding,
  isSamePublicKey,
  listBundleFaults,
  parseDocument,
  signBundle,
  type SignedBundle,
  signedBundleSchema,
  verifyBundle,
} from "@trefoildoor/core";
import type { CommandCall } from "./command.ts";
import { buildInputError, CommandError, ExitCode } from "./exit_codes.ts";
import { readInput } from "./files.ts";
import { findBundleAt, type Fleet } from "./fleet.ts";
import type { OperatorSettings } from "./settings.ts";

/** Environment variable that may hold the private signing key. */
export const signingKeyVariable = "TREFOILDOOR_SIGNING_KEY";

/** Reads and checks a bundle file, signed or not. */
export function readBundleFile(path: string): Bundle {
  const text = readInput(path);
  if (isSigned(text)) return readSignedBundle(path).bundle;
  return checkBundle(text, path).mapLeft(buildInputError).unsafeCoerce();
}

/** Reads and checks a signed bundle file; the signature is not verified. */
export function readSignedBundle(path: string): SignedBundle {
  return parseDocument(readInput(path), signedBundleSchema, {
    source: path,
    check: ({ bundle }) =>
      listBundleFaults(bundle).map((fault) => ({
        ...fault,
        path: ["bundle", ...fault.path],
      })),
  }).mapLeft(buildInputError).unsafeCoerce();
}

/** Checks that a key of the settings signed the bundle. */
export function expectTrusted(
  signed: SignedBundle,
  settings: OperatorSettings,
): void {
  const keys = new Map(Object.entries(settings.signing_keys));
  if (verifyBundle(signed, keys)) return;
  throw new CommandError(
    `the signature by key "${signed.key}" does not hold under the signing keys of the settings; nothing was changed`,
    ExitCode.BadInput,
  );
}

/** Signs a bundle with the operator's key, which the settings must trust. */
export function signWithOwnKey(
  call: CommandCall,
  settings: OperatorSettings,
  { bundle }: { readonly bundle: Bundle },
): SignedBundle {
  const privateKey = readPrivateKey(call);
  const keyName = findKeyName(privateKey, settings);
  return signBundle(bundle, { keyName, privateKey });
}

/**
 * Finds a bundle by version number, as the log has it, or by file name.
 * Throws `CommandError` when there is none.
 */
export async function findBundle(
  fleet: Fleet,
  state: ControlState,
  { name }: { readonly name: string },
): Promise<Bundle> {
  if (!/^[0-9]+$/.test(name)) return readBundleFile(name);
  const version = Number(name);
  const inForce = state.bundle?.signed.bundle;
  if (inForce?.version === version) return inForce;
  const entry = findAccepted(state, version);
  const bundle = entry && await findBundleAt(fleet.log, entry.position);
  if (bundle) return bundle;
  const why = entry
    ? "is no longer kept by the log; give its file"
    : "was never in force, or is older than the history";
  throw new CommandError(`version ${version} ${why}`, ExitCode.BadInput);
}

/** The history's entry of an accepted version. */
export function findAccepted(
  state: ControlState,
  version: number,
): BundleEntry | undefined {
  return state.history.find((entry) =>
    entry.version === version && entry.rejection === undefined
  );
}

/** Checks a bundle that was made by a merge or a rollback. */
export function expectConsistent(bundle: Bundle, source: string): void {
  const findings: readonly Finding[] = listBundleFaults(bundle).map((
    fault,
  ) => ({
    place: { source, path: fault.path.join(".") },
    message: fault.message,
  }));
  if (findings.length > 0) throw buildInputError(findings);
}

function isSigned(text: string): boolean {
  return text.trimStart().startsWith("{") && /"signature"\s*:/.test(text);
}

function readPrivateKey(call: CommandCall): string {
  const { keyFile } = call.flags;
  if (keyFile !== undefined) return readInput(keyFile);
  const key = call.context.environment[signingKeyVariable];
  if (key) return key;
  throw new CommandError(
    `no signing key: give --key-file or set ${signingKeyVariable}`,
    ExitCode.BadInput,
  );
}

function findKeyName(privateKey: string, settings: OperatorSettings): string {
  const publicKey = computePublicKey(privateKey);
  const names = Object.entries(settings.signing_keys)
    .filter(([, text]) => isSamePublicKey(text, publicKey))
    .map(([name]) => name);
  const [name] = names;
  if (name !== undefined) return name;
  throw new CommandError(
    "the signing key is none of the settings' signing_keys",
    ExitCode.BadInput,
  );
}

function computePublicKey(privateKey: string): string {
  try {
    return derivePublicKey(privateKey);
  } catch (error) {
    const message = error instanceof Error ? error.message : "key is broken";
    throw new CommandError(`signing ${message}`, ExitCode.BadInput);
  }
}
