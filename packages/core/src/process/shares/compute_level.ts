/** Max-min shares: no one gets more of a room than another who asks for more than he gets. */

/** Workspaces that ask for the same amount each. */
export interface DemandGroup {
  readonly demand: number;
  readonly count: number;
}

/** Computes how much each may have of a room, in the unit of the demands; Infinity where all fit. */
export function computeLevel(
  groups: readonly DemandGroup[],
  room: number,
): number {
  let left = room;
  let count = groups.reduce((sum, group) => sum + group.count, 0);
  const sorted = groups.toSorted((one, other) => one.demand - other.demand);
  for (const group of sorted) {
    if (group.demand * count > left) return left / count;
    left -= group.demand * group.count;
    count -= group.count;
  }
  return Infinity;
}
