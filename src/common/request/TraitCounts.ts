/**
 * Number of answers that lack a trait, and of endpoints that sent them, from which on the answers of a service count as
 * lacking it by nature. Faulty endpoints spoil single answers.
 */
const MIN_LACKING_ANSWERS = 3;
const MIN_LACKING_ENDPOINTS = 2;

/**
 * Number of answers of a single endpoint that are enough. Affinity may keep all calls of a service at one endpoint, and a
 * faulty endpoint spoils some of its answers, but not so many in a row. Counts go no further.
 */
export const MAX_LACKING_ANSWERS = 8;

/** What the answers of one endpoint have shown of a trait. */
export interface ITraitCounts {
  /** Whether any answer had the trait. */
  isSeen: boolean;
  /** Number of answers that lacked it, counted up to a few. */
  lacking: number;
}

/** Whether the answers of a service have a trait. `unknown`: too few have been seen to tell. */
export type TraitState = 'present' | 'lacking' | 'unknown';

/**
 * Classifies a trait of the answers of a service with a number of endpoints. A single answer that has it is enough, since
 * what a fault does to an answer takes such a trait away and gives it to none.
 * @example
 * classifyTraitCounts([{ isSeen: false, lacking: 2 }, { isSeen: false, lacking: 1 }], 2); // 'lacking'
 */
export function classifyTraitCounts(counts: readonly ITraitCounts[], endpointCount: number): TraitState {
  if (counts.some(({ isSeen }) => isSeen)) return 'present';
  const answers = counts.reduce((sum, { lacking }) => sum + lacking, 0);
  const lackingEndpoints = counts.filter(({ lacking }) => lacking > 0).length;
  const hasEndpoints =
    lackingEndpoints >= Math.min(MIN_LACKING_ENDPOINTS, endpointCount) ||
    counts.some(({ lacking }) => lacking >= MAX_LACKING_ANSWERS);
  return answers >= MIN_LACKING_ANSWERS && hasEndpoints ? 'lacking' : 'unknown';
}
