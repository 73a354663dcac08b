/** Plain objects as immutable maps. Names such as `__proto__` are ordinary entries. */

/** A plain object used as a map. */
export type Entries<T> = Readonly<Record<string, T>>;

/** Value of an entry; undefined when it is absent or only inherited. */
export function getOwn<T>(entries: Entries<T>, name: string): T | undefined {
  return Object.hasOwn(entries, name) ? entries[name] : undefined;
}

/** Copy with one entry set; entries are sorted by name. */
export function setOwn<T>(
  entries: Entries<T>,
  name: string,
  options: { readonly value: T },
): Entries<T> {
  const others = Object.entries(entries).filter(([key]) => key !== name);
  const all: [string, T][] = [...others, [name, options.value]];
  all.sort(([left], [right]) => left < right ? -1 : 1);
  return Object.fromEntries(all);
}

/** Copy without one entry. */
export function removeOwn<T>(entries: Entries<T>, name: string): Entries<T> {
  const others = Object.entries(entries).filter(([key]) => key !== name);
  return Object.fromEntries(others);
}

/** Copy with every value transformed. */
export function mapOwn<T>(
  entries: Entries<T>,
  transform: (value: T) => T,
): Entries<T> {
  const changed = Object.entries(entries).map(([name, value]): [string, T] => [
    name,
    transform(value),
  ]);
  return Object.fromEntries(changed);
}

/** Copy with only the entries whose values satisfy the predicate. */
export function filterOwn<T>(
  entries: Entries<T>,
  predicate: (value: T) => boolean,
): Entries<T> {
  const kept = Object.entries(entries).filter(([, value]) => predicate(value));
  return Object.fromEntries(kept);
}
