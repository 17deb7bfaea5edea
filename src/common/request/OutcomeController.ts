import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAttemptEntry, IRequestEntry } from '../blackboard/Types.js';
import type { IJournal, JournalEntry } from '../coordination/Types.js';
import { Disposable } from '../Lifecycle.js';
import type { IClock } from '../Types.js';
import { combineRan, hasEnded, refuseRequest } from './Refusals.js';
import type { DecideAcceptance, DecideRetry } from './Types.js';

/** Options of the outcome controller. */
export interface IOutcomeOptions {
  board: Blackboard;
  clock: IClock;
  journal: IJournal;
  decideRetry: DecideRetry;
  /** Takes one attempt from the retry budget; false when it is used up. */
  takeRetryBudget: () => boolean;
  hashKey: (request: IRequestEntry) => string;
  /** Leaves a draft to the escalation controller. Default: every answer is final. */
  decideAcceptance?: DecideAcceptance;
  /** Keeps entries until the journal can take them. */
  holdEntries: (key: string, entries: readonly JournalEntry[]) => Promise<void>;
}

/** Turns ended attempts into an answer, a retry or a refusal. */
export class OutcomeController extends Disposable {
  constructor(private readonly _options: IOutcomeOptions) {
    super();
    this._register(
      _options.board.attempts.onChange(({ before, after }) => {
        if (!after || before?.phase === after.phase) return;
        if (after.phase === 'finished') this._handleFinished(after);
        if (after.phase === 'failed') this._handleFailed(after);
      }),
    );
    this._register(
      _options.board.requests.onChange(({ before, after }) => {
        if (after?.phase === 'refused' && before?.phase !== 'refused') this._releaseClaim(after);
      }),
    );
  }

  private _handleFinished(attempt: IAttemptEntry): void {
    const { board } = this._options;
    const request = board.requests.get(attempt.request);
    if (request?.phase !== 'running') return;
    if (request.winner !== undefined && request.winner !== attempt.id) return;
    if (this._options.decideAcceptance?.(request, attempt).kind === 'check') return;
    const { answer } = attempt;
    board.requests.update(request.id, { phase: 'answered', winner: attempt.id, ran: 'yes', answer });
  }

  private _handleFailed(attempt: IAttemptEntry): void {
    const { board, clock, decideRetry, takeRetryBudget } = this._options;
    const request = board.requests.get(attempt.request);
    if (!request || !attempt.error || hasEnded(request)) return;
    const ran = combineRan(request.ran, attempt.error.ran);
    const failedEndpoints = [...(request.failedEndpoints ?? []), attempt.endpoint];
    board.requests.update(request.id, { ran, failedEndpoints });
    if (this._hasOtherAttempt(request, attempt)) return;
    const view = { request: { ...request, ran }, attempt, error: attempt.error, now: clock.now() };
    // The budget is charged only when the retry is allowed otherwise.
    const allowed = decideRetry({ ...view, hasBudget: true });
    const decision =
      allowed.kind === 'retry' && !takeRetryBudget() ? decideRetry({ ...view, hasBudget: false }) : allowed;
    if (decision.kind === 'refuse') {
      refuseRequest(board, request.id, decision.refusal);
      return;
    }
    clock.schedule(decision.delayMs, () => {
      if (board.requests.get(request.id)?.phase === 'running') {
        board.requests.update(request.id, { phase: 'queued', winner: undefined });
      }
    });
  }

  private _hasOtherAttempt(request: IRequestEntry, attempt: IAttemptEntry): boolean {
    return (request.attemptIds ?? []).some((id) => {
      const phase = this._options.board.attempts.get(id)?.phase;
      return id !== attempt.id && (phase === 'planned' || phase === 'sent' || phase === 'streaming');
    });
  }

  /** Frees the claim of a request that provably did not run, so that its repeat can run. */
  private _releaseClaim(request: IRequestEntry): void {
    if (request.isIdempotent || request.attemptCount === 0 || request.refusal?.ran !== 'no') return;
    const key = this._options.hashKey(request);
    void this._release(key, [{ kind: 'release', key, request: request.id }]);
  }

  private async _release(key: string, entries: readonly JournalEntry[]): Promise<void> {
    const released = await this._options.journal.append(key, entries);
    if (released.isErr) await this._options.holdEntries(key, entries);
  }
}
