import type { Millis, RandomSource } from '../common/Types.js';

/** One fault of a chain. */
export interface IChainedFault<K extends string> {
  kind: K;
  /** Start, counted from the start of the run. */
  atMs: Millis;
  durationMs: Millis;
  /** Chooses what is hit, 0 up to 1. */
  target: number;
}

/** Lengths of a chain and of its faults. */
export interface IChainLimits {
  endMs: Millis;
  shortestMs: Millis;
  longestMs: Millis;
}

/** Plans faults that follow each other after random pauses. Chains that run at the same time overlap. */
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
    faults.push({ kind, atMs, durationMs, target: random() });
    atMs += durationMs;
  }
  return faults;
}
