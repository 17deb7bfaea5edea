import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAttemptEntry, IUnmarkedEnds } from '../blackboard/Types.js';
import { findPlainEndForm } from './PlainEnds.js';
import { findStreamEndForm } from './StreamTraits.js';
import type { EndForm } from './Types.js';

/** Largest number of services and routes that a host announces, so that its record stays small. */
const MAX_UNMARKED_ENDS = 64;

/**
 * Lists what a host announces of answers whose ends nothing marks: what it has seen itself and no other host announces,
 * and what it has announced before, in an earlier process too, unless it has seen a mark since.
 * @example
 * listUnmarkedEnds(board, 'host-1'); // [{ kind: 'stream', service: 'drafts' }]
 */
export function listUnmarkedEnds(board: Blackboard, host: string): IUnmarkedEnds[] {
  const announced = board.presentHosts.get(host)?.unmarkedEnds ?? [];
  const kept = announced.filter((ends) => findEndForm(board, ends) !== 'marked');
  const added = listSeenEnds(board).filter(
    (ends) => findEndForm(board, ends) === 'unmarked' && !hasUnmarkedEnds(board, ends),
  );
  return [...kept, ...added].slice(0, MAX_UNMARKED_ENDS);
}

function hasUnmarkedEnds(board: Blackboard, ends: IUnmarkedEnds): boolean {
  for (const { unmarkedEnds = [] } of board.presentHosts.list())
    if (unmarkedEnds.some((other) => formatEnds(other) === formatEnds(ends))) return true;
  return false;
}

/**
 * Tells whether some host has announced that nothing marks the ends of answers such as that of an attempt.
 * @example
 * if (findStreamEndForm(board, attempt.endpoint) === 'unknown' && isAnnouncedUnmarked(board, attempt)) return 'unmarked';
 */
export function isAnnouncedUnmarked(
  board: Blackboard,
  { answer, endpoint, request }: IAttemptEntry,
): boolean {
  const { release = '', service } = board.endpoints.get(endpoint) ?? {};
  if (service === undefined) return false;
  if (answer?.kind === 'model') return hasUnmarkedEnds(board, { kind: 'stream', service });
  const { route = '' } = board.requests.get(request) ?? {};
  return hasUnmarkedEnds(board, { kind: 'plain', service, release, route });
}

/**
 * Formats what an announcement says of answers of one kind, to compare it.
 * @example
 * formatEnds({ kind: 'stream', service: 'drafts' }); // '["stream","drafts","",""]'
 */
export function formatEnds({ kind, release = '', route = '', service }: IUnmarkedEnds): string {
  return JSON.stringify([kind, service, release, route]);
}

/** Lists the kinds of answers of which this host may have seen the ends. */
function listSeenEnds({ endpoints, plainEnds }: Blackboard): IUnmarkedEnds[] {
  const services = new Set<string>();
  for (const { service, unmarkedStreams = 0 } of endpoints.list())
    if (unmarkedStreams > 0) services.add(service);
  const streams = [...services].map((service) => ({ kind: 'stream' as const, service }));
  const plain = [...plainEnds.list()]
    .filter(({ hasMark }) => !hasMark)
    .map(({ release, route, service }) => ({ kind: 'plain' as const, service, release, route }));
  return [...streams, ...plain];
}

/** Finds how answers end as far as this host has seen; `unknown` if no endpoint that sends them is listed. */
function findEndForm(board: Blackboard, { kind, release = '', route, service }: IUnmarkedEnds): EndForm {
  const endpoint = [...board.endpoints.list()].find(
    (entry) => entry.service === service && (kind === 'stream' || (entry.release ?? '') === release),
  );
  if (!endpoint) return 'unknown';
  if (kind === 'stream') return findStreamEndForm(board, endpoint.id);
  return findPlainEndForm(board, endpoint.id, route);
}
