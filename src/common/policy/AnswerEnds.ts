import type { IRequestEntry } from '../blackboard/Types.js';
import type { DecideAnswerEnd, IAnswerEndView, RunCheckResult } from '../request/Types.js';
import type { Millis } from '../Types.js';

/** Options of the decision on answers whose end is in doubt. */
export interface IAnswerEndOptions {
  /** Tells whether the retry budget allows another attempt of a request. */
  hasBudget: (request: IRequestEntry) => boolean;
  /** Least time until the deadline with which another endpoint is asked whether more follows. Default 500 ms. */
  minTimeLeftMs?: Millis;
}

/** Results of asking an endpoint that show that it cannot have completed the answer. */
const BREAKING_CHECKS: ReadonlySet<RunCheckResult> = new Set<RunCheckResult>([
  'unreachable',
  'replaced',
  'ahead',
]);

/**
 * Creates the decision that believes an end only with evidence. The end of a connection is none by itself: the system
 * closes the connections of a process that dies in order. So the endpoint has to be alive, and if it marks the ends of
 * its other streams, or a stream ended without any event, the stream is continued elsewhere: another endpoint then
 * sends what is missing, or agrees that nothing is.
 * @example
 * const decide = createDecideAnswerEnd({ hasBudget: () => true });
 * decide({ request, attempt, check: undefined, marksEnds: false, now: 0 }); // 'check' if only the connection ended
 */
export function createDecideAnswerEnd({
  hasBudget,
  minTimeLeftMs = 500,
}: IAnswerEndOptions): DecideAnswerEnd {
  return (view) => {
    const { attempt, check, marksEnds, now, request } = view;
    if (isAgreedEnd(view)) return 'complete';
    if (attempt.endMark === 'connection' && check === undefined) return 'check';
    if (check !== undefined && BREAKING_CHECKS.has(check)) return 'broken';
    const isDoubtful = attempt.tokens === 0 || marksEnds;
    const hasTime = request.deadlineAt - now >= minTimeLeftMs;
    return isDoubtful && hasTime && isContinuable(view) && hasBudget(request) ? 'continue' : 'complete';
  };
}

/** Tells whether an endpoint before has claimed the same end, and this one has found nothing after it. */
function isAgreedEnd({ attempt, request }: IAnswerEndView): boolean {
  const { answer, tokens } = attempt;
  const claimed = request.claim?.answer;
  if (answer?.kind !== 'model' || claimed?.kind !== 'model') return false;
  return tokens === 0 && claimed.lastEventId === answer.lastEventId;
}

/** Tells whether another attempt can go on after the last event of this one. */
function isContinuable({ attempt, request }: IAnswerEndView): boolean {
  const { answer, tokens } = attempt;
  if (answer?.kind !== 'model' || request.target.kind !== 'model' || !request.target.isStreaming)
    return false;
  if (!request.isIdempotent || request.attemptCount >= (request.maxAttempts ?? Infinity)) return false;
  const hasDelivered = tokens > 0 || request.hasPartialDelivery === true;
  return !hasDelivered || (request.isResumable === true && answer.lastEventId !== undefined);
}
