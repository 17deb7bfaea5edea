import type { IAttemptEntry } from '../blackboard/Types.js';

/**
 * Tells whether nothing shows that an answer is complete: only its connection ended, or a stream had no events.
 * @example
 * const phase = hasDoubtfulEnd(attempt) ? 'doubted' : 'finished';
 */
export function hasDoubtfulEnd({ answer, endMark, tokens }: IAttemptEntry): boolean {
  if (endMark === undefined) return false;
  return endMark === 'connection' || (answer?.kind === 'model' && tokens === 0);
}
