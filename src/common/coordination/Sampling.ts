import type { IClock, RandomSource } from '../Types.js';

/** Takes one unit from a budget; false when it is used up. */
export type TakeBudget = () => boolean;

/** Shuffles items into a new array. */
export function orderAtRandom<T>(items: readonly T[], random: RandomSource): T[] {
  const shuffled = [...items];
  for (let last = shuffled.length - 1; last > 0; last -= 1) {
    const other = Math.floor(random() * (last + 1));
    [shuffled[last], shuffled[other]] = [shuffled[other] as T, shuffled[last] as T];
  }
  return shuffled;
}

/** Picks up to `count` different items at random. */
export function pickRandom<T>(items: readonly T[], count: number, random: RandomSource): T[] {
  if (count === 1 && items.length > 0) return [items[Math.floor(random() * items.length)] as T];
  return orderAtRandom(items, random).slice(0, count);
}

/** Creates a token bucket: `burst` units at first, refilled at `perSecond`. */
export function createRateBudget(clock: IClock, burst: number, perSecond: number): TakeBudget {
  let units = burst;
  let refilledAt = clock.now();
  return () => {
    const now = clock.now();
    units = Math.min(burst, units + ((now - refilledAt) / 1000) * perSecond);
    refilledAt = now;
    if (units < 1) return false;
    units -= 1;
    return true;
  };
}
