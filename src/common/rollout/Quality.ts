import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IQualityEntry, IRequestEntry } from '../blackboard/Types.js';
import type { IRolloutCounts } from './Types.js';

/** Ratings after which older ones are discounted, so that a change of quality is learned in time. */
const MAX_RATINGS = 2000;

/** Callers name kinds of requests freely; the oldest entry is dropped beyond this number. */
const MAX_ENTRIES = 10_000;

/** Key of an entry of the `quality` panel. */
export function formatQualityKey(service: string, kind: string, version: string): string {
  return `${service}|${kind}|${version}`;
}

/** Kind under which the comparison of a rollout is counted. Kinds of requests have no colon. */
export function formatRolloutKind(rollout: string): string {
  return `rollout:${rollout}`;
}

/** Changes an entry of the `quality` panel, creating it first if it is new. */
export function updateQuality(
  board: Blackboard,
  place: Pick<IQualityEntry, 'service' | 'kind' | 'version'>,
  change: (entry: IQualityEntry) => Partial<IQualityEntry>,
): void {
  const key = formatQualityKey(place.service, place.kind, place.version);
  const known = board.quality.get(key) ?? createQuality(place);
  board.quality.set(key, { ...known, ...change(known) });
  if (board.quality.size <= MAX_ENTRIES) return;
  for (const [oldest, entry] of board.quality.listPairs()) {
    if (entry.kind.startsWith(formatRolloutKind(''))) continue;
    board.quality.delete(oldest);
    return;
  }
}

/** Counts one rating; halves the counts when there are many, so that old ratings fade. */
export function countRating(
  entry: IQualityEntry,
  score: 'good' | 'bad',
  isAcceptedDraft: boolean,
): Partial<IQualityEntry> {
  const factor = entry.good + entry.bad >= MAX_RATINGS ? 0.5 : 1;
  const accepted = isAcceptedDraft ? 1 : 0;
  const isGood = score === 'good';
  return {
    good: entry.good * factor + (isGood ? 1 : 0),
    bad: entry.bad * factor + (isGood ? 0 : 1),
    acceptedGood: entry.acceptedGood * factor + (isGood ? accepted : 0),
    acceptedBad: entry.acceptedBad * factor + (isGood ? 0 : accepted),
  };
}

/** Lists the rollouts in whose comparison an attempt of a version counts for a request. */
export function listComparisons(board: Blackboard, request: IRequestEntry, version: string): string[] {
  const versions = board.services.get(request.service)?.document.versions ?? {};
  const model = versions[version]?.model;
  return (request.plan?.rollouts ?? []).filter((name) => versions[name]?.model === model);
}

/** Lists this host's counts for every comparison of a service's rollouts. */
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

function createQuality(place: Pick<IQualityEntry, 'service' | 'kind' | 'version'>): IQualityEntry {
  return {
    service: place.service,
    kind: place.kind,
    version: place.version,
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
