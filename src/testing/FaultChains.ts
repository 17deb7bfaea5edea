import type { Millis, RandomSource } from '../common/Types.js';

/** One fault of a chain, which is a sequence of faults that do not overlap. */
export interface IChainedFault<K extends string> {
  kind: K;
  /** Start time, measured from the start of the run. */
  atMs: Millis;
  durationMs: Millis;
  /** Random number from 0 to below 1 that selects the target of the fault. */
  targetDraw: number;
}

/** Time limits of a chain and of its faults. */
export interface IChainLimits {
  /** No fault starts at or after this time. */
  endMs: Millis;
  /** Shortest duration of a fault. */
  shortestMs: Millis;
  /** Longest duration of a fault, and of a pause between two faults. */
  longestMs: Millis;
}

/**
 * Plans a chain of faults with random pauses between them. For faults that overlap, plan several chains and
 * run them at the same time.
 */
export function planFaultChain<K extends string>(
  random: RandomSource,
  kinds: readonly K[],
  { endMs, longestMs, shortestMs }: IChainLimits,
): IChainedFault<K>[] {
  const faults: IChainedFault<K>[] = [];
  for (let atMs = random() * longestMs; atMs < endMs; atMs += random() * longestMs) {
    const kind = kinds[Math.floor(random() * kinds.length)];
    if (kind === undefined) return faults;
    const durationMs = shortestMs + random() * (longestMs - shortestMs);
    faults.push({ kind, atMs, durationMs, targetDraw: random() });
    atMs += durationMs;
  }
  return faults;
}
