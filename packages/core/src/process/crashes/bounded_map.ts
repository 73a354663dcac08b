/** Maps by process or trait, whose keys callers and endpoints choose. */

/** Entries of each map. */
const maxEntries = 256;

/** Sets the entry as the newest one and removes the oldest above the bound. */
export function setBounded<V>(
  map: Map<string, V>,
  { key, value }: { readonly key: string; readonly value: V },
): void {
  map.delete(key);
  map.set(key, value);
  const [oldest] = map.keys();
  if (map.size > maxEntries && oldest !== undefined) map.delete(oldest);
}
