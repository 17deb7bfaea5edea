import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IRequestEntry, ISessionEntry } from '../blackboard/Types.js';
import type { Millis } from '../Types.js';

/** Formats the key of a request's session on the `sessions` panel. */
export function formatSessionKey({ service, session }: Pick<IRequestEntry, 'service' | 'session'>): string {
  return `${service}/${session ?? ''}`;
}

/** Reads the time after the last request of a session for which the session keeps its release. */
function readSessionRetentionMs(board: Blackboard): Millis {
  return board.limits.get('in-force')?.sessionRetentionMs ?? 0;
}

/** Tells whether a session still keeps its release. */
export function isSessionActive(board: Blackboard, { pinnedAt }: ISessionEntry, now: Millis): boolean {
  return now - pinnedAt < readSessionRetentionMs(board);
}

/** Lists the sessions that keep their release, from the least to the most recently used. */
export function listActiveSessions(board: Blackboard, now: Millis): Readonly<ISessionEntry>[] {
  return [...board.sessions.list()].filter((session) => isSessionActive(board, session, now));
}
