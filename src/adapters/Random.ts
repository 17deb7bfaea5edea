import { createHash, randomUUID } from 'node:crypto';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomSource } from '../common/Types.js';

/** Draws that are dropped: seeds up to 100 all give a first number above 0.999 otherwise. */
const WARM_UP_DRAWS = 20;

/** Creates a repeatable random source. */
export function createSeededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  for (let draw = 0; draw < WARM_UP_DRAWS; draw += 1) uniformFloat64(generator);
  return () => uniformFloat64(generator);
}

/** Creates a unique id. */
export function createUniqueId(): string {
  return randomUUID();
}

/** Hashes texts to hex; the parts are kept apart, so ('ab','c') and ('a','bc') differ. */
export function hashTexts(...parts: readonly string[]): string {
  const hash = createHash('sha256');
  for (const part of parts) hash.update(`${part.length}:`).update(part);
  return hash.digest('hex').slice(0, 32);
}

/** Hashes a client account's key as the service document holds it. */
export function hashAccountKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
