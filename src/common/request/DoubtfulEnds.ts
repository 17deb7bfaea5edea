import type { IAttemptEntry, IEndpointEntry } from '../blackboard/Types.js';
import type { Millis } from '../Types.js';

/**
 * Time for which an endpoint counts as spoiling answers after one that was. A fault that spoils a part of the answers of
 * a busy endpoint shows several times within it.
 */
const SPOILT_MEMORY_MS: Millis = 5000;

/**
 * Tells whether nothing shows that an answer is complete: only its connection ended, or a stream had no events.
 * @example
 * const phase = hasDoubtfulEnd(attempt) ? 'doubted' : 'finished';
 */
export function hasDoubtfulEnd({ answer, endMark, tokens }: IAttemptEntry): boolean {
  if (endMark === undefined) return false;
  return endMark === 'connection' || (answer?.kind === 'model' && tokens === 0);
}

/**
 * Tells whether an endpoint has sent an answer lately that was malformed or broke off.
 * @example
 * hasSpoiltLately(board.endpoints.get('m-1'), clock.now());
 */
export function hasSpoiltLately(endpoint: Readonly<IEndpointEntry> | undefined, now: Millis): boolean {
  return endpoint?.spoiltAt !== undefined && now - endpoint.spoiltAt < SPOILT_MEMORY_MS;
}
