import type { IAttemptEntry, IRequestEntry } from '../blackboard/Types.js';

/** Tells whether nothing shows that an answer is complete: only its connection ended, or a stream had no events. */
export function hasDoubtfulEnd({ answer, endMark, tokens }: IAttemptEntry): boolean {
  if (endMark === undefined) return false;
  return endMark === 'connection' || (answer?.kind === 'model' && tokens === 0);
}

/**
 * Finds the complete answer that an endpoint claimed to have sent, if the caller has received nothing after it since.
 * @example
 * const claim = findStandingClaim(request);
 * if (claim) deliver(claim.answer);
 */
export function findStandingClaim({
  claim,
  resumeAfter,
  winningAttempt,
}: IRequestEntry): IRequestEntry['claim'] {
  if (claim?.answer.kind !== 'model' || claim.answer.lastEventId !== resumeAfter) return undefined;
  return winningAttempt === undefined || winningAttempt === claim.attempt ? claim : undefined;
}
