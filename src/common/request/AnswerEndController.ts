import type { Blackboard } from '../blackboard/Blackboard.js';
import type { AttemptErrorKind, IAttemptEntry, IRequestEntry } from '../blackboard/Types.js';
import { Disposable, disposeAll, type IDisposable } from '../Lifecycle.js';
import { hasAttemptLeft } from '../policy/Retries.js';
import type { IClock, Millis } from '../Types.js';
import { isAnnouncedUnmarked } from './AnnouncedEnds.js';
import { recordRunCheck } from './AttemptPlan.js';
import { isCandidate } from './Candidates.js';
import { hasSpoiltLately } from './DoubtfulEnds.js';
import { findPlainEndForm } from './PlainEnds.js';
import { hasEnded } from './Refusals.js';
import { findStreamEndForm, hasNewStreamEnds } from './StreamTraits.js';
import type {
  AnswerEndDecision,
  CheckRun,
  DecideAnswerEnd,
  EndForm,
  IAnswerEndView,
  RunCheckResult,
} from './Types.js';

/** Options of the answer end controller. */
export interface IAnswerEndOptions {
  board: Blackboard;
  clock: IClock;
  decideAnswerEnd: DecideAnswerEnd;
  /** Asks an endpoint, on another connection, whether it is alive and how far the run has come. */
  checkRun: CheckRun;
  /**
   * Longest time for which an end is held back until other answers have shown how the service ends them. Default 1 s:
   * callers give up a stream after a gap of two.
   */
  maxHoldMs?: Millis;
}

const DEFAULT_MAX_HOLD_MS: Millis = 1000;

/** Time before the deadline of a request at which an end is no longer held back. */
const DEADLINE_MARGIN_MS: Millis = 100;

/** Delay before an endpoint is asked again that could not be reached. One at its limit resets new connections. */
const RECHECK_DELAY_MS: Millis = 100;

/** Delay before an endpoint is asked again that reports a run as running. Its reports may be some hundred ms old. */
const REPORT_DELAY_MS: Millis = 500;

/** Decides whether answers are complete whose end is in doubt, and asks their endpoints first if need be. */
export class AnswerEndController extends Disposable {
  constructor(private readonly _options: IAnswerEndOptions) {
    super();
    this._register(
      _options.board.attempts.onChange(({ before, after }) => {
        if (after?.phase === 'doubted' && before?.phase !== 'doubted') void this._handleDoubted(after);
      }),
    );
  }

  private async _handleDoubted(attempt: IAttemptEntry): Promise<void> {
    let check: RunCheckResult | undefined;
    let decision = this._decide(attempt, check);
    if (decision === 'check') {
      check = await this._checkEndpoint(attempt);
      decision = this._decide(attempt, check);
    }
    if (decision === 'wait') decision = await this._holdEnd(attempt, check);
    if (!this._isDisposed) this._apply(attempt, decision);
  }

  private _decide(attempt: IAttemptEntry, check: RunCheckResult | undefined): AnswerEndDecision {
    const { board, clock, decideAnswerEnd } = this._options;
    const request = board.requests.get(attempt.request);
    // The deadline or the caller has ended the request, so that nothing follows from the decision but the check.
    if (!request) return check === 'unreachable' ? 'broken' : 'complete';
    return decideAnswerEnd({
      request,
      attempt,
      check,
      endForm: this._findEndForm(attempt),
      leftMs: request.deadlineAt - clock.now(),
      holdLeftMs: this._computeHoldLeft(attempt, request),
      isRepeatable: isRepeatable(board, request, attempt),
      hasSpoiltLately: (id) => hasSpoiltLately(board.endpoints.get(id), clock.now()),
    });
  }

  /**
   * Finds how the service ends such answers. What other hosts have announced counts only where no other endpoint can
   * confirm the end.
   */
  private _findEndForm(attempt: IAttemptEntry): EndForm {
    const { board } = this._options;
    const { answer, endpoint } = attempt;
    const request = board.requests.get(attempt.request);
    const seen =
      answer?.kind === 'model'
        ? findStreamEndForm(board, endpoint)
        : findPlainEndForm(board, endpoint, request?.route);
    if (seen !== 'unknown' || !request || isRepeatable(board, request, attempt)) return seen;
    return isAnnouncedUnmarked(board, attempt) ? 'unmarked' : 'unknown';
  }

  /** Holds an end back until there is another decision on it. */
  private async _holdEnd(
    attempt: IAttemptEntry,
    check: RunCheckResult | undefined,
  ): Promise<AnswerEndDecision> {
    const { board, clock } = this._options;
    const startedAt = clock.now();
    let decision: AnswerEndDecision = 'wait';
    // A timer may fire a little early, so that the decision is to wait once more.
    while (decision === 'wait' && !this._isDisposed) {
      await this._waitForEndForm(attempt);
      decision = this._decide(attempt, check);
    }
    board.attempts.update(attempt.id, { endHeldMs: Math.round(clock.now() - startedAt) });
    return decision;
  }

  private _computeHoldLeft({ endedAt = 0 }: IAttemptEntry, { deadlineAt }: IRequestEntry): Millis {
    const { clock, maxHoldMs = DEFAULT_MAX_HOLD_MS } = this._options;
    return Math.min(endedAt + maxHoldMs, deadlineAt - DEADLINE_MARGIN_MS) - clock.now();
  }

  /** Waits until other answers have shown how the service ends them, the request has ended, or the wait is over. */
  private _waitForEndForm(attempt: IAttemptEntry): Promise<void> {
    const { board, clock } = this._options;
    const request = board.requests.get(attempt.request);
    if (!request) return Promise.resolve();
    return new Promise((resolve) => {
      const subscriptions: IDisposable[] = [];
      const finish = (): void => {
        disposeAll(subscriptions.splice(0));
        resolve();
      };
      const finishIfKnown = (): void => {
        if (this._findEndForm(attempt) !== 'unknown') finish();
      };
      subscriptions.push(
        clock.schedule(Math.max(0, this._computeHoldLeft(attempt, request)), finish),
        board.plainEnds.onChange(finishIfKnown),
        board.presentHosts.onChange(finishIfKnown),
        board.endpoints.onChange(({ before, after }) => {
          if (hasNewStreamEnds(before, after)) finishIfKnown();
        }),
        board.requests.onChange(({ key, after }) => {
          if (key === attempt.request && (!after || hasEnded(after))) finish();
        }),
      );
    });
  }

  private async _checkEndpoint(attempt: IAttemptEntry): Promise<RunCheckResult> {
    const { board } = this._options;
    const first = await this._sendCheck(attempt);
    const request = board.requests.get(attempt.request);
    const delayMs = findRecheckDelay(attempt, first, {
      endForm: this._findEndForm(attempt),
      isRepeatable: request !== undefined && isRepeatable(board, request, attempt),
    });
    const check = delayMs === undefined ? first : await this._checkAgain(attempt, first, delayMs);
    recordRunCheck(this._options, attempt, { result: check, silentMs: 0 });
    return check;
  }

  /** Asks an endpoint once more. No reply does not take back that it has refused the connection. */
  private async _checkAgain(
    attempt: IAttemptEntry,
    first: RunCheckResult,
    delayMs: Millis,
  ): Promise<RunCheckResult> {
    const { clock } = this._options;
    await new Promise<void>((resolve) => {
      clock.schedule(delayMs, resolve);
    });
    const check = await this._sendCheck(attempt);
    const hasReply = check !== 'unanswered' && check !== 'silent';
    return first === 'unreachable' && !hasReply ? first : check;
  }

  private async _sendCheck(attempt: IAttemptEntry): Promise<RunCheckResult> {
    const { board, checkRun } = this._options;
    const request = board.requests.get(attempt.request);
    const endpoint = board.endpoints.get(attempt.endpoint);
    // An endpoint that is no longer listed cannot be asked.
    if (!request || !endpoint) return 'unanswered';
    if (endpoint.incarnation !== attempt.incarnation) return 'replaced';
    const { signal } = new AbortController();
    try {
      return await checkRun({ attempt, request, endpoint, signal }, attempt.tokens);
    } catch {
      // The result is logged with the check.
      return 'unanswered';
    }
  }

  private _apply(attempt: IAttemptEntry, decision: AnswerEndDecision): void {
    const { board, clock } = this._options;
    const { answer, endpoint: id } = attempt;
    if (decision === 'complete') {
      board.endpoints.update(id, { consecutiveFailures: 0 });
      board.attempts.update(attempt.id, { phase: 'finished' });
    } else if (decision === 'claim') {
      const lastEventId = answer?.kind === 'model' ? answer.lastEventId : undefined;
      board.requests.update(attempt.request, { claimedEnd: { endpoint: id, lastEventId } });
      this._fail(attempt, 'unconfirmed', 'Another endpoint has to confirm the end of the answer.');
    } else if (decision === 'continue') {
      this._fail(attempt, 'unconfirmed', 'An answer without any event is no end of a stream.');
    } else if (decision === 'unproven') {
      this._fail(attempt, 'unconfirmed', 'Nothing shows that the answer is whole.');
    } else {
      const consecutiveFailures = (board.endpoints.get(id)?.consecutiveFailures ?? 0) + 1;
      board.endpoints.update(id, { consecutiveFailures, spoiltAt: clock.now() });
      if (decision === 'malformed')
        this._fail(attempt, 'malformed', 'Nothing marks the end of the answer, as in other answers.');
      else if (attempt.doubt === 'endpoint-spoils')
        this._fail(
          attempt,
          'crashed',
          'The endpoint reports more events than came before the end of its answer.',
        );
      else
        this._fail(attempt, 'crashed', 'The endpoint did not outlast its answer, whose end nothing marks.');
    }
  }

  private _fail({ answer, id }: IAttemptEntry, kind: AttemptErrorKind, message: string): void {
    const { eventSteps, lastEventId } = answer?.kind === 'model' ? answer : {};
    const position = {
      ...(lastEventId === undefined ? {} : { lastEventId }),
      ...(eventSteps === undefined ? {} : { eventSteps }),
    };
    const error = { kind, ran: 'yes' as const, message, ...position };
    this._options.board.attempts.update(id, { phase: 'failed', answer: undefined, error });
  }
}

/** Finds after which time an endpoint is asked again; `undefined` if its first reply decides. */
function findRecheckDelay(
  { answer, doubt }: IAttemptEntry,
  check: RunCheckResult,
  { isRepeatable, endForm }: Pick<IAnswerEndView, 'isRepeatable' | 'endForm'>,
): Millis | undefined {
  // A refusal does not change the decision on an answer whose end is marked.
  if (check === 'unreachable') return doubt === 'endpoint-spoils' ? undefined : RECHECK_DELAY_MS;
  // Another reply changes the decision only where the endpoint's word is all there is: no reply confirms a plain answer
  // where others have marks, and a call that is sent again has little time.
  const isKnownForm = answer?.kind === 'plain' && endForm === 'unmarked';
  const isWordOfEndpoint = isKnownForm || (endForm === 'unknown' && !isRepeatable);
  if (!isWordOfEndpoint) return undefined;
  if (check === 'running') return REPORT_DELAY_MS;
  return check === 'unanswered' || check === 'silent' ? RECHECK_DELAY_MS : undefined;
}

/** Tells whether another endpoint may be asked for the rest of a stream, or be sent a plain call again. */
function isRepeatable({ endpoints }: Blackboard, request: IRequestEntry, attempt: IAttemptEntry): boolean {
  const { answer, endpoint: id } = attempt;
  if (answer?.kind !== 'model') return request.isIdempotent && hasAttemptLeft(request);
  if (answer.lastEventId === undefined || request.isResumable !== true) return false;
  return [...endpoints.list()].some((endpoint) => endpoint.id !== id && isCandidate(endpoint, request));
}
