import type { IAnswer, IAttemptEntry, IAttemptError, IEndpointEntry } from '../blackboard/Types.js';
import type { Millis } from '../Types.js';
import type { DoubtReason } from './Types.js';

/**
 * Time for which an endpoint counts as spoiling answers after one that was. A fault that spoils a part of the answers of
 * a busy endpoint shows several times within it.
 */
const SPOILT_MEMORY_MS: Millis = 5000;

/**
 * Finds why it is in doubt whether an answer is complete; `undefined` if its end is marked and can be believed. The
 * report of an endpoint that spoils answers tells its number of events, but not whether a run that was resumed counts
 * those before, so that a marked end of such a run is believed.
 * @example
 * findDoubt(attempt, { hasSpoiltLately: false, isResumed: false }); // 'unmarked' if only the connection ended
 */
export function findDoubt(
  { answer, endMark, tokens }: IAttemptEntry,
  { hasSpoiltLately, isResumed }: { hasSpoiltLately: boolean; isResumed: boolean },
): DoubtReason | undefined {
  if (endMark === undefined) return undefined;
  if (endMark === 'connection') return 'unmarked';
  if (answer?.kind !== 'model') return undefined;
  if (tokens === 0) return 'empty';
  return hasSpoiltLately && !isResumed ? 'endpoint-spoils' : undefined;
}

/**
 * Tells whether an endpoint has sent an answer lately that was malformed or broke off.
 * @example
 * hasSpoiltLately(board.endpoints.get('m-1'), clock.now());
 */
export function hasSpoiltLately(endpoint: Readonly<IEndpointEntry> | undefined, now: Millis): boolean {
  return endpoint?.spoiltAt !== undefined && now - endpoint.spoiltAt < SPOILT_MEMORY_MS;
}

/**
 * Describes the failure of an attempt whose marked end was false, since the rest of its answer followed; `undefined` for
 * any other attempt. A stream can go on after the last event that it brought. A whole answer is not refuted by another
 * response behind it, nor by bytes that belong to none.
 * @example
 * const error = refuteEnd(attempt, result.unwrapOr(undefined)); // kind 'malformed' if `attempt.afterEnd` is 'rest'
 */
export function refuteEnd(
  { afterEnd }: IAttemptEntry,
  answer: IAnswer | undefined,
): IAttemptError | undefined {
  if (afterEnd !== 'rest') return undefined;
  const { eventSteps, lastEventId } = answer?.kind === 'model' ? answer : {};
  return {
    kind: 'malformed',
    ran: 'yes',
    message: 'The rest of the answer followed its end.',
    ...(lastEventId === undefined ? {} : { lastEventId }),
    ...(eventSteps === undefined ? {} : { eventSteps }),
  };
}
