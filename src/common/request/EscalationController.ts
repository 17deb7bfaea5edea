import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAttemptEntry, IRequestEntry } from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';
import { decideDraft } from '../policy/Escalations.js';
import type { Millis } from '../Types.js';
import { isAcceptingWork } from './Candidates.js';
import type { DecideAcceptance } from './Types.js';

/** Scores a draft from 0 to 1; resolves with `undefined` if no score arrives within `timeoutMs`. */
export type ScoreDraft = (
  request: IRequestEntry,
  attempt: IAttemptEntry,
  timeoutMs: Millis,
) => Promise<number | undefined>;

/** Options of the escalation controller. */
export interface IEscalationOptions {
  board: Blackboard;
  decideAcceptance: DecideAcceptance;
  scoreDraft: ScoreDraft;
  /** Called with the result of each draft that was scored, for the `quality` panel. */
  onDraftScored: (request: IRequestEntry, attempt: IAttemptEntry, isAccepted: boolean) => void;
}

/**
 * Has drafts scored. An accepted draft is delivered; the request of a rejected one is queued again for the
 * next version of its plan.
 */
export class EscalationController extends Disposable {
  constructor(private readonly _options: IEscalationOptions) {
    super();
    this._register(
      _options.board.attempts.onChange(({ before, after }) => {
        if (after?.phase === 'finished' && before?.phase !== 'finished') void this._handleFinished(after);
      }),
    );
  }

  private async _handleFinished(attempt: IAttemptEntry): Promise<void> {
    const { board, decideAcceptance, onDraftScored, scoreDraft } = this._options;
    const request = this._findUndecidedRequest(attempt);
    if (!request) return;
    const acceptance = decideAcceptance(request, attempt);
    const learning = board.services.get(request.service)?.document.learning;
    if (acceptance.kind === 'accept' || !learning) return;
    const score = await scoreDraft(request, attempt, learning.draftCheckMs);
    // The caller, the deadline or another attempt may have ended the request in the meantime.
    const current = this._findUndecidedRequest(attempt);
    if (!current) return;
    const canEscalate = this._hasEndpoint(current, acceptance.escalatesTo);
    const verdict = decideDraft({ score, acceptScore: learning.draftAcceptScore, canEscalate });
    const isAccepted = score !== undefined && score >= learning.draftAcceptScore;
    if (score !== undefined) onDraftScored(current, attempt, isAccepted);
    if (verdict === 'deliver') this._deliver(current, attempt, isAccepted);
    else this._queueEscalation(current, attempt, acceptance.escalatesTo);
  }

  /** Finds the request of an attempt if it is still running and no other attempt has won. */
  private _findUndecidedRequest(attempt: IAttemptEntry): IRequestEntry | undefined {
    const request = this._options.board.requests.get(attempt.request);
    if (request?.phase !== 'running') return undefined;
    return request.winningAttempt === undefined || request.winningAttempt === attempt.id
      ? request
      : undefined;
  }

  /** Tells whether the request may use a version, and an endpoint that accepts new work has it. */
  private _hasEndpoint(request: IRequestEntry, version: string): boolean {
    const { board } = this._options;
    const service = board.services.get(request.service);
    const stage = service?.document.versions[version]?.stage;
    if (stage === undefined || stage === 'withdrawn' || stage === 'withdrawing') return false;
    if (service?.rollouts[version]?.verdict === 'halted' && stage === 'rolling-out') return false;
    if (!service?.document.accounts[request.account]?.versions.includes(version)) return false;
    for (const endpoint of board.endpoints.list()) {
      if (isAcceptingWork(endpoint) && endpoint.versions.includes(version)) return true;
    }
    return false;
  }

  /**
   * Delivers the draft. A draft that was not accepted but could not be escalated is the last step of its
   * plan, so the later steps are removed from the plan.
   */
  private _deliver(request: IRequestEntry, attempt: IAttemptEntry, isAccepted: boolean): void {
    const { answer } = attempt;
    const { plan } = request;
    const steps = plan?.steps.slice(0, plan.steps.indexOf(attempt.version ?? '') + 1) ?? [];
    const [firstStep, ...otherSteps] = steps;
    const isPlanTruncated = !isAccepted && plan !== undefined && firstStep !== undefined;
    this._options.board.requests.update(request.id, {
      phase: 'answered',
      winningAttempt: attempt.id,
      ran: 'yes',
      answer,
      ...(isPlanTruncated ? { plan: { ...plan, steps: [firstStep, ...otherSteps] } } : {}),
    });
  }

  private _queueEscalation(request: IRequestEntry, attempt: IAttemptEntry, version: string): void {
    const { answer } = attempt;
    if (answer?.kind !== 'model') return;
    const draft = { version: answer.version, usage: answer.usage };
    const escalatedFrom = [...request.escalatedFrom, draft];
    const ran = 'yes';
    this._options.board.requests.update(request.id, {
      phase: 'queued',
      version,
      winningAttempt: undefined,
      escalatedFrom,
      ran,
    });
  }
}
