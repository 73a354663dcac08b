/** Counts in messages. */

/** Formats a count with its noun, for instance `1 key` or `2 keys`. */
export function formatCount(count: number, noun: string): string {
  return count === 1 ? `${count} ${noun}` : `${count} ${noun}s`;
}
