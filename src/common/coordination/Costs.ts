/** Costs are rounded to multiples of one currency unit divided by this number. */
const COST_STEPS_PER_CURRENCY_UNIT = 1e9;

/** Rounds a cost, so that a sum does not depend on the order in which its parts were added. */
export function roundCost(cost: number): number {
  return Math.round(cost * COST_STEPS_PER_CURRENCY_UNIT) / COST_STEPS_PER_CURRENCY_UNIT;
}
