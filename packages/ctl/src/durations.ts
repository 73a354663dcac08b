/** Durations as operators write them. */
import { CommandError, ExitCode } from "./exit_codes.ts";

const unitsMs: Readonly<Record<string, number>> = {
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
  d: 86_400_000,
};

/** Parses a duration such as `30m` or `7d` into ms; throws `CommandError`. */
export function parseDuration(text: string): number {
  const match = /^([1-9][0-9]{0,5})([smhd])$/.exec(text);
  const unitMs = unitsMs[match?.[2] ?? ""];
  if (match && unitMs !== undefined) return Number(match[1]) * unitMs;
  throw new CommandError(
    `"${text}" is no duration such as 30m, 6h or 7d`,
    ExitCode.BadInput,
  );
}

/** Formats a duration in its largest whole unit. */
export function formatDuration(ms: number): string {
  const units = Object.entries(unitsMs).reverse();
  const [name, unitMs] = units.find(([, unit]) => ms % unit === 0) ??
    ["s", 1_000];
  return `${Math.round(ms / unitMs)}${name}`;
}
