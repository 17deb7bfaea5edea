import type { Blackboard } from '../blackboard/Blackboard.js';
import type { AttemptErrorKind, IAttemptEntry } from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';
import type { IClock } from '../Types.js';
import { recordRunCheck } from './AttemptPlan.js';
import type { AnswerEndDecision, CheckRun, DecideAnswerEnd, RunCheckResult } from './Types.js';

/** Options of the answer end controller. */
export interface IAnswerEndControllerOptions {
  board: Blackboard;
  clock: IClock;
  decideAnswerEnd: DecideAnswerEnd;
  /** Asks an endpoint, on another connection, whether it is alive and how far the run has come. */
  checkRun: CheckRun;
}

/** Decides whether the answers of attempts in the phase `ended` are complete, and asks their endpoints first if need be. */
export class AnswerEndController extends Disposable {
  constructor(private readonly _options: IAnswerEndControllerOptions) {
    super();
    this._register(
      _options.board.attempts.onChange(({ before, after }) => {
        if (!after || after.phase === before?.phase) return;
        if (after.phase === 'ended') void this._handleEnded(after);
        else if (after.phase === 'finished') this._recordMark(after);
      }),
    );
  }

  private async _handleEnded(attempt: IAttemptEntry): Promise<void> {
    let decision = this._decide(attempt, undefined);
    if (decision === 'check') {
      const check = await this._checkEndpoint(attempt);
      if (this._isDisposed) return;
      decision = this._decide(attempt, check);
    }
    this._apply(attempt, decision);
  }

  private _decide(attempt: IAttemptEntry, check: RunCheckResult | undefined): AnswerEndDecision {
    const { board, clock, decideAnswerEnd } = this._options;
    const request = board.requests.get(attempt.request);
    // The deadline or the caller has ended the request, so the answer goes nowhere.
    if (!request) return 'complete';
    const marksEnds = board.endpoints.get(attempt.endpoint)?.marksStreamEnds ?? false;
    return decideAnswerEnd({ request, attempt, check, marksEnds, now: clock.now() });
  }

  private async _checkEndpoint(attempt: IAttemptEntry): Promise<RunCheckResult> {
    const { board, checkRun } = this._options;
    const request = board.requests.get(attempt.request);
    const endpoint = board.endpoints.get(attempt.endpoint);
    // An endpoint that is no longer listed cannot be asked, so nothing proves that it was alive at the end.
    if (!request || !endpoint) return 'unreachable';
    const { signal } = new AbortController();
    const check = await checkRun({ attempt, request, endpoint, signal }, attempt.tokens);
    recordRunCheck(this._options, attempt, { result: check, silentMs: 0 });
    return check;
  }

  private _apply(attempt: IAttemptEntry, decision: AnswerEndDecision): void {
    const { board } = this._options;
    const { answer, endpoint: id } = attempt;
    const consecutiveFailures = board.endpoints.get(id)?.consecutiveFailures ?? 0;
    if (decision === 'complete') {
      board.endpoints.update(id, { consecutiveFailures: 0 });
      board.attempts.update(attempt.id, { phase: 'finished' });
    } else if (decision === 'continue' && answer) {
      board.requests.update(attempt.request, { claim: { attempt: attempt.id, answer } });
      this._fail(attempt, 'unconfirmed', 'Another endpoint has to confirm the end of the answer.');
    } else {
      board.endpoints.update(id, { consecutiveFailures: consecutiveFailures + 1 });
      this._fail(attempt, 'crashed', 'The endpoint did not outlast its answer, whose end nothing marks.');
    }
  }

  private _fail({ answer, id }: IAttemptEntry, kind: AttemptErrorKind, message: string): void {
    const lastEventId = answer?.kind === 'model' ? answer.lastEventId : undefined;
    const position = lastEventId === undefined ? {} : { lastEventId };
    const error = { kind, ran: 'yes' as const, message, ...position };
    this._options.board.attempts.update(id, { phase: 'failed', answer: undefined, error });
  }

  /** Records that an endpoint marks the ends of its streams. */
  private _recordMark({ answer, endMark, endpoint }: IAttemptEntry): void {
    const { board } = this._options;
    if (endMark === undefined || endMark === 'connection' || answer?.kind !== 'model') return;
    if (board.endpoints.get(endpoint)?.marksStreamEnds !== true)
      board.endpoints.update(endpoint, { marksStreamEnds: true });
  }
}
