import type { IClock, RandomSource } from '../Types.js';

/** Takes one token from a bucket; returns false when the bucket is empty. */
export type TakeToken = () => boolean;

/** Shuffles items into a new array. */
export function shuffleItems<T>(items: readonly T[], random: RandomSource): T[] {
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
  return shuffleItems(items, random).slice(0, count);
}

/** Creates a token bucket with a capacity of `burst` tokens, full at first and refilled at `perSecond`. */
export function createTokenBucket(clock: IClock, burst: number, perSecond: number): TakeToken {
  let tokens = burst;
  let refilledAt = clock.now();
  return () => {
    const now = clock.now();
    tokens = Math.min(burst, tokens + ((now - refilledAt) / 1000) * perSecond);
    refilledAt = now;
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  };
}
