import { createHash, randomUUID } from 'node:crypto';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomSource } from '../common/Types.js';

/** Number of initial draws to discard. Without it, every seed up to 100 gives a first number above 0.999. */
const WARM_UP_DRAWS = 20;

/** Creates a random source that gives the same sequence for the same seed. */
export function createSeededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  for (let draw = 0; draw < WARM_UP_DRAWS; draw += 1) uniformFloat64(generator);
  return () => uniformFloat64(generator);
}

/** Creates a unique id. */
export function createUniqueId(): string {
  return randomUUID();
}

/**
 * Hashes texts with SHA-256 and returns the first 32 hex digits. Each part is hashed with its length, so that
 * ('ab', 'c') and ('a', 'bc') give different hashes.
 */
export function hashTexts(...parts: readonly string[]): string {
  const hash = createHash('sha256');
  for (const part of parts) hash.update(`${part.length}:`).update(part);
  return hash.digest('hex').slice(0, 32);
}

/** Hashes the API key of a client account. The service document contains this hash instead of the key. */
export function hashAccountKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
