/** Smallest part of a currency unit that bills keep, as a divisor. */
const PARTS_PER_UNIT = 1e9;

/** Rounds a cost, so that it does not depend on the order in which its parts were added. */
export function roundCost(cost: number): number {
  return Math.round(cost * PARTS_PER_UNIT) / PARTS_PER_UNIT;
}
