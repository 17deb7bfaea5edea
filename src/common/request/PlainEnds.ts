import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IEndpointEntry, IPlainEndEntry, IRequestEntry } from '../blackboard/Types.js';
import { classifyTraitCounts, MAX_LACKING_ANSWERS, type TraitState } from './TraitCounts.js';
import type { EndForm, EndMark } from './Types.js';

/** Largest number of routes whose ends are remembered. The oldest gives way. */
const MAX_ENTRIES = 4096;

const FORMS: Readonly<Record<TraitState, EndForm>> = {
  present: 'marked',
  lacking: 'unmarked',
  unknown: 'unknown',
};

/**
 * Records what the head of a plain answer tells of how the endpoints of its release end the answers of its route.
 * @example
 * recordPlainEnd(board, { endpoint, route: request.route, endMark: 'length' });
 */
export function recordPlainEnd(
  { plainEnds }: Blackboard,
  {
    endMark,
    endpoint,
    route,
  }: { endpoint: Readonly<IEndpointEntry>; route: IRequestEntry['route']; endMark: EndMark },
): void {
  const { key, ...names } = describeEntry(endpoint, route);
  const entry = plainEnds.get(key) ?? { ...names, hasMark: false, unmarkedAnswers: {} };
  if (entry.hasMark) return;
  if (endMark !== 'connection') {
    writeEntry(plainEnds, key, { ...entry, hasMark: true, unmarkedAnswers: {} });
    return;
  }
  const { [endpoint.id]: known = 0, ...others } = entry.unmarkedAnswers;
  // Two endpoints are enough to tell, so that the counts stay few where endpoints come and go.
  if (known >= MAX_LACKING_ANSWERS || Object.keys(others).length > 1) return;
  writeEntry(plainEnds, key, { ...entry, unmarkedAnswers: { ...others, [endpoint.id]: known + 1 } });
}

/**
 * Finds how an endpoint ends plain answers of a route. Until answers of the route have shown it, those of other routes
 * speak for it: handlers of one service may differ.
 * @example
 * findPlainEndForm(board, attempt.endpoint, request.route); // 'unknown' shortly after a start
 */
export function findPlainEndForm(board: Blackboard, id: string, route: IRequestEntry['route']): EndForm {
  const endpoint = board.endpoints.get(id);
  if (!endpoint) return 'unknown';
  const { key, release, service } = describeEntry(endpoint, route);
  const mates = [...board.endpoints.list()].filter(
    (entry) => entry.service === service && (entry.release ?? '') === release,
  );
  const entry = board.plainEnds.get(key);
  const routeState = classifyEntries(entry ? [entry] : [], mates.length);
  if (routeState !== 'unknown') return FORMS[routeState];
  const entries = [...board.plainEnds.list()].filter(
    (other) => other.service === service && other.release === release,
  );
  return FORMS[classifyEntries(entries, mates.length)];
}

function classifyEntries(entries: readonly Readonly<IPlainEndEntry>[], endpointCount: number): TraitState {
  const lacking = new Map<string, number>();
  for (const { unmarkedAnswers } of entries)
    for (const [id, count] of Object.entries(unmarkedAnswers))
      lacking.set(id, (lacking.get(id) ?? 0) + count);
  const counts = [...lacking.values()].map((count) => ({ isSeen: false, lacking: count }));
  const marked = { isSeen: entries.some(({ hasMark }) => hasMark), lacking: 0 };
  return classifyTraitCounts([...counts, marked], endpointCount);
}

function describeEntry(
  { release = '', service }: Readonly<IEndpointEntry>,
  route = '',
): { key: string; service: string; release: string; route: string } {
  return { key: JSON.stringify([service, release, route]), service, release, route };
}

function writeEntry(plainEnds: Blackboard['plainEnds'], key: string, entry: IPlainEndEntry): void {
  plainEnds.set(key, entry);
  if (plainEnds.size <= MAX_ENTRIES) return;
  const [oldest] = plainEnds.listPairs();
  if (oldest) plainEnds.delete(oldest[0]);
}
