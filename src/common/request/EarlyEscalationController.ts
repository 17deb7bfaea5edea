import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAttemptEntry, IRequestEntry } from '../blackboard/Types.js';
import type { IAnswerEstimate } from '../estimates/Types.js';
import { Disposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';
import { isAcceptingWork } from './Candidates.js';

/** Input of the decision whether an answer that has just begun is delivered. */
export interface IEarlyEscalationView {
  request: IRequestEntry;
  /** The model's confidence in its own answer, 0 to 1. */
  confidence: number;
  /** Version that the request would be escalated to. */
  nextVersion: string;
  /** Time until the deadline. */
  leftMs: Millis;
  /** Time until the first output is late. Negative if it is; `undefined` if the request names no target. */
  onTimeLeftMs?: Millis | undefined;
  /** When the next version's answer is expected to begin and to end; `undefined` without measurements. */
  expected?: IAnswerEstimate | undefined;
}

/** Estimates the answer of a version to a request; `undefined` without measurements. */
export type EstimateAnswer = (request: IRequestEntry, version: string) => IAnswerEstimate | undefined;

/** Decides whether an answer that has just begun is delivered, or dropped and the request escalated. */
export type DecideEarlyEscalation = (view: IEarlyEscalationView) => 'deliver' | 'escalate';

/** Options of the opening controller. */
export interface IEarlyEscalationOptions {
  board: Blackboard;
  clock: IClock;
  decideEarlyEscalation: DecideEarlyEscalation;
  /** Default: no version is estimated. */
  estimateAnswer?: EstimateAnswer;
  /** Takes one attempt from the retry budget; false if the budget is used up. */
  takeRetryBudget: (request: IRequestEntry) => boolean;
}

/**
 * Escalates a request to the next version of its plan when the model reports little confidence in the answer
 * that it has begun. The attempt is cancelled before any of its output reaches the caller.
 */
export class EarlyEscalationController extends Disposable {
  constructor(private readonly _options: IEarlyEscalationOptions) {
    super();
    this._register(
      _options.board.attempts.onChange(({ before, after }) => {
        if (after?.confidence !== undefined && before?.confidence === undefined)
          this._handleConfidence(after);
      }),
    );
  }

  private _handleConfidence(attempt: IAttemptEntry): void {
    const { board, clock, decideEarlyEscalation, estimateAnswer, takeRetryBudget } = this._options;
    const request = board.requests.get(attempt.request);
    const { confidence } = attempt;
    const nextVersion = request && findNextVersion(request, attempt.version);
    if (!request || nextVersion === undefined || confidence === undefined) return;
    // The caller already has part of the answer, and another model would not continue that text.
    if (request.hasPartialDelivery) return;
    if (request.phase !== 'running' || request.winningAttempt !== undefined) return;
    if (request.attemptCount >= (request.maxAttempts ?? Infinity)) return;
    if (!hasEndpoint(board, nextVersion)) return;
    const now = clock.now();
    const { deadlineAt, receivedAt, targetLatencyMs } = request;
    const decision = decideEarlyEscalation({
      request,
      confidence,
      nextVersion,
      leftMs: deadlineAt - now,
      onTimeLeftMs: targetLatencyMs === undefined ? undefined : receivedAt + targetLatencyMs - now,
      expected: estimateAnswer?.(request, nextVersion),
    });
    if (decision === 'deliver') return;
    if (!takeRetryBudget(request)) return;
    board.attempts.update(attempt.id, { phase: 'cancelled', isAnswerDiscarded: true });
    const usage = { promptTokens: 0, completionTokens: 0 };
    const draft = { version: attempt.version ?? '', usage };
    board.requests.update(request.id, {
      phase: 'queued',
      version: nextVersion,
      ran: 'yes',
      escalatedFrom: [...request.escalatedFrom, draft],
    });
  }
}

/** Tells whether an endpoint with a version takes work. Without one, the answer at hand is all that there is. */
function hasEndpoint({ endpoints }: Blackboard, version: string): boolean {
  return [...endpoints.list()].some(
    (endpoint) => isAcceptingWork(endpoint) && endpoint.versions.includes(version),
  );
}

function findNextVersion({ plan }: IRequestEntry, version: string | undefined): string | undefined {
  const index = plan?.steps.indexOf(version ?? '') ?? -1;
  return index < 0 ? undefined : plan?.steps[index + 1];
}
