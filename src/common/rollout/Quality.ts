import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IQualityEntry, IRequestEntry } from '../blackboard/Types.js';
import type { IRolloutCounts } from './Types.js';

/**
 * Number of ratings of an entry at which its counts are halved before the next rating is added, so that the
 * entry reflects a change of quality in time.
 */
const MAX_RATINGS_PER_ENTRY = 2000;

/**
 * Largest size of the `quality` panel. It must be limited because callers choose the names of request kinds
 * freely.
 */
const MAX_QUALITY_ENTRIES = 10_000;

/** Formats the key of an entry of the `quality` panel. */
export function formatQualityKey(service: string, kind: string, version: string): string {
  return `${service}|${kind}|${version}`;
}

/**
 * Formats the kind of the entries that hold the comparison of a rollout. Kinds of requests contain no colon
 * and so never equal it. An empty name gives the prefix of all such kinds.
 */
export function formatRolloutKind(rollout: string): string {
  return `rollout:${rollout}`;
}

/**
 * Changes an entry of the `quality` panel, and creates it first if it does not exist. When the panel exceeds
 * its limit, the oldest entry that does not belong to a rollout is deleted.
 */
export function updateQuality(
  board: Blackboard,
  identity: Pick<IQualityEntry, 'service' | 'kind' | 'version'>,
  change: (entry: IQualityEntry) => Partial<IQualityEntry>,
): void {
  const key = formatQualityKey(identity.service, identity.kind, identity.version);
  const current = board.quality.get(key) ?? createQualityEntry(identity);
  board.quality.set(key, { ...current, ...change(current) });
  if (board.quality.size <= MAX_QUALITY_ENTRIES) return;
  for (const [oldest, entry] of board.quality.listPairs()) {
    if (entry.kind.startsWith(formatRolloutKind(''))) continue;
    board.quality.delete(oldest);
    return;
  }
}

/** Counts one rating. Halves the earlier counts when there are many, so that old ratings lose weight. */
export function countRating(
  entry: IQualityEntry,
  score: 'good' | 'bad',
  isAcceptedDraft: boolean,
): Partial<IQualityEntry> {
  const factor = entry.good + entry.bad >= MAX_RATINGS_PER_ENTRY ? 0.5 : 1;
  const acceptedIncrement = isAcceptedDraft ? 1 : 0;
  const isGood = score === 'good';
  return {
    good: entry.good * factor + (isGood ? 1 : 0),
    bad: entry.bad * factor + (isGood ? 0 : 1),
    acceptedGood: entry.acceptedGood * factor + (isGood ? acceptedIncrement : 0),
    acceptedBad: entry.acceptedBad * factor + (isGood ? 0 : acceptedIncrement),
  };
}

/**
 * Lists the rollouts in whose comparison an attempt counts: those that the request is eligible for and whose
 * new version has the same model as the version of the attempt.
 */
export function listComparedRollouts(board: Blackboard, request: IRequestEntry, version: string): string[] {
  const versions = board.services.get(request.service)?.document.versions ?? {};
  const model = versions[version]?.model;
  return (request.plan?.eligibleRollouts ?? []).filter((name) => versions[name]?.model === model);
}

/** Lists this host's counts for the comparisons of all rollouts of a service. */
export function listRolloutCounts(board: Blackboard, service: string): IRolloutCounts[] {
  const prefix = formatRolloutKind('');
  return [...board.quality.list()]
    .filter((entry) => entry.service === service && entry.kind.startsWith(prefix))
    .map((entry) => ({
      rollout: entry.kind.slice(prefix.length),
      version: entry.version,
      good: entry.good,
      bad: entry.bad,
      errors: entry.errors,
      finished: entry.finished,
      slow: entry.slow,
      draftsAccepted: entry.draftsAccepted,
      draftsRejected: entry.draftsRejected,
    }));
}

function createQualityEntry(identity: Pick<IQualityEntry, 'service' | 'kind' | 'version'>): IQualityEntry {
  return {
    service: identity.service,
    kind: identity.kind,
    version: identity.version,
    good: 0,
    bad: 0,
    errors: 0,
    finished: 0,
    slow: 0,
    draftsAccepted: 0,
    draftsRejected: 0,
    acceptedGood: 0,
    acceptedBad: 0,
    latencyMs: 0,
  };
}
