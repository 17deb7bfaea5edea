import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAnswer, IAttemptEntry, IAttemptError, IEndpointEntry } from '../blackboard/Types.js';
import type { Millis } from '../Types.js';
import type { DoubtReason, EndMark, StreamEndForm } from './Types.js';

/**
 * Time for which an endpoint counts as spoiling answers after one that was. A fault that spoils a part of the answers of
 * a busy endpoint shows several times within it.
 */
const SPOILT_MEMORY_MS: Millis = 5000;

/**
 * Number of streams without a mark of their end, and of endpoints that sent them, from which on a service counts as one
 * that marks none. Faulty endpoints leave out the mark of single answers.
 */
const MIN_UNMARKED_STREAMS = 3;
const MIN_UNMARKED_ENDPOINTS = 2;

/**
 * Finds what the beginning of a stream tells of how its endpoint ends streams; `undefined` if nothing new.
 * @example
 * findStreamEndPatch(endpoint, 'chunks'); // { marksStreamEnds: true } at the first such stream
 */
export function findStreamEndPatch(
  { marksStreamEnds = false, unmarkedStreams = 0 }: Readonly<IEndpointEntry>,
  endMark: EndMark,
): Partial<IEndpointEntry> | undefined {
  if (marksStreamEnds) return undefined;
  if (endMark !== 'connection') return { marksStreamEnds: true };
  return unmarkedStreams < MIN_UNMARKED_STREAMS ? { unmarkedStreams: unmarkedStreams + 1 } : undefined;
}

/**
 * Classifies how the endpoints of a service end their streams. A single mark shows that they do mark ends, since what
 * leaves out a mark is a fault more often than what sets one.
 * @example
 * classifyStreamEnds([{ ...endpoint, marksStreamEnds: true }]); // 'marked'
 */
export function classifyStreamEnds(endpoints: readonly Readonly<IEndpointEntry>[]): StreamEndForm {
  let streams = 0;
  let unmarkedEndpoints = 0;
  for (const { marksStreamEnds, unmarkedStreams = 0 } of endpoints) {
    if (marksStreamEnds === true) return 'marked';
    streams += unmarkedStreams;
    if (unmarkedStreams > 0) unmarkedEndpoints += 1;
  }
  const isSeenOften = streams >= MIN_UNMARKED_STREAMS;
  const isSeenAtMost = unmarkedEndpoints >= Math.min(MIN_UNMARKED_ENDPOINTS, endpoints.length);
  return isSeenOften && isSeenAtMost ? 'unmarked' : 'unknown';
}

/**
 * Finds how the endpoints of the service of an endpoint end their streams.
 * @example
 * findStreamEndForm(board, attempt.endpoint); // 'unknown' shortly after a start
 */
export function findStreamEndForm({ endpoints }: Blackboard, endpoint: string): StreamEndForm {
  const service = endpoints.get(endpoint)?.service;
  return classifyStreamEnds([...endpoints.list()].filter((entry) => entry.service === service));
}

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
