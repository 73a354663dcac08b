/** Secrets in the settings, given as text or by the name of an environment variable. */
import type { Finding } from "@trefoildoor/core";
import { type Either, Left, Right } from "purify-ts";
import type { SecretSetting, Settings } from "./schema.ts";

const minSecretLength = 16;

/** Environment variables of a process by name. */
export type Environment = Readonly<Record<string, string | undefined>>;

/** Returns the text of a secret; empty when its variable is missing, which `checkSecrets` reports. */
export function readSecret(
  setting: SecretSetting,
  environment: Environment,
): string {
  return typeof setting === "string" ? setting : environment[setting.env] ?? "";
}

/** Finds secrets whose environment variable is missing or too short. */
export function checkSecrets(
  settings: Settings,
  options: { readonly source: string; readonly environment: Environment },
): Either<readonly Finding[], Settings> {
  const secretSettings: readonly [string, SecretSetting | undefined][] = [
    ["peers.key", settings.peers.key],
    ["peers.ca", settings.peers.ca],
    ["peers.tls.certificate", settings.peers.tls?.certificate],
    ["peers.tls.private_key", settings.peers.tls?.private_key],
    ["callers.tls.certificate", settings.callers.tls?.certificate],
    ["callers.tls.private_key", settings.callers.tls?.private_key],
  ];
  const findings = secretSettings.flatMap(([path, setting]) => {
    if (setting === undefined || typeof setting === "string") return [];
    const length = options.environment[setting.env]?.length ?? 0;
    if (length >= minSecretLength) return [];
    const message =
      `environment variable "${setting.env}" is missing or shorter than ${minSecretLength}`;
    return [{ place: { source: options.source, path }, message }];
  });
  return findings.length > 0 ? Left(findings) : Right(settings);
}
