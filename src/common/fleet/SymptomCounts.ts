import type { IRolloutEvidence, ISymptomCounts, Symptom } from './Types.js';

/** Number of endpoints with bad answers that are named. Two show that the fault is not in one endpoint. */
const MAX_BAD_ENDPOINTS = 2;

/** An answer that was judged by one symptom. */
export interface IJudgedAnswer {
  symptom: Symptom;
  route: string;
  endpoint: string;
  isBad: boolean;
}

/** Adds an answer to the counts of its symptom and route, and returns these. */
export function countAnswer(
  counts: ISymptomCounts[],
  { endpoint, isBad, route, symptom }: IJudgedAnswer,
): ISymptomCounts {
  let entry = counts.find((known) => known.symptom === symptom && known.route === route);
  if (!entry) {
    entry = { symptom, route, good: 0, bad: 0, badEndpoints: [] };
    counts.push(entry);
  }
  entry[isBad ? 'bad' : 'good'] += 1;
  const isNamed = entry.badEndpoints.includes(endpoint) || entry.badEndpoints.length >= MAX_BAD_ENDPOINTS;
  if (isBad && !isNamed) entry.badEndpoints = [...entry.badEndpoints, endpoint];
  return entry;
}

/** Adds up the answers of all symptoms and routes. */
export function sumCounts(counts: readonly ISymptomCounts[]): { bad: number; total: number } {
  return {
    bad: counts.reduce((sum, { bad }) => sum + bad, 0),
    total: counts.reduce((sum, { bad, good }) => sum + bad + good, 0),
  };
}

/** Copies evidence whose counts go on changing while it is written. */
export function copyEvidence({ newCounts, oldCounts, ...evidence }: IRolloutEvidence): IRolloutEvidence {
  return {
    ...evidence,
    newCounts: newCounts.map((entry) => ({ ...entry })),
    oldCounts: oldCounts.map((entry) => ({ ...entry })),
  };
}
