import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAttemptEntry, IRequestEntry } from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';
import { decideDraft } from '../policy/Escalations.js';
import type { Millis } from '../Types.js';
import { isAcceptingWork } from './Candidates.js';
import type { DecideAcceptance } from './Types.js';

/** Scores a draft, 0 to 1; `undefined` when no score arrives within the time. */
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
  /** Told of each checked draft, for the `quality` panel. */
  onDraft: (request: IRequestEntry, attempt: IAttemptEntry, isAccepted: boolean) => void;
}

/** Has drafts checked: delivers a good one, sends the request of a bad one back to the queue. */
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
    const { board, decideAcceptance, onDraft, scoreDraft } = this._options;
    const request = this._findOpen(attempt);
    if (!request) return;
    const acceptance = decideAcceptance(request, attempt);
    const learning = board.services.get(request.service)?.document.learning;
    if (acceptance.kind === 'accept' || !learning) return;
    const score = await scoreDraft(request, attempt, learning.draftCheckMs);
    // The caller, the deadline or another attempt may have ended the request in the meantime.
    const current = this._findOpen(attempt);
    if (!current) return;
    const canEscalate = this._hasEndpoint(current, acceptance.escalatesTo);
    const verdict = decideDraft({ score, acceptScore: learning.draftAcceptScore, canEscalate });
    const isAccepted = score !== undefined && score >= learning.draftAcceptScore;
    if (score !== undefined) onDraft(current, attempt, isAccepted);
    if (verdict === 'deliver') this._deliver(current, attempt, isAccepted);
    else this._queueNext(current, attempt, acceptance.escalatesTo);
  }

  private _findOpen(attempt: IAttemptEntry): IRequestEntry | undefined {
    const request = this._options.board.requests.get(attempt.request);
    if (request?.phase !== 'running') return undefined;
    return request.winner === undefined || request.winner === attempt.id ? request : undefined;
  }

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

  /** Delivers the draft. One that could not be escalated ends its plan and is no accepted draft. */
  private _deliver(request: IRequestEntry, attempt: IAttemptEntry, isAccepted: boolean): void {
    const { answer } = attempt;
    const { plan } = request;
    const steps = plan?.steps.slice(0, plan.steps.indexOf(attempt.version ?? '') + 1) ?? [];
    const [first, ...others] = steps;
    const isCut = !isAccepted && plan !== undefined && first !== undefined;
    this._options.board.requests.update(request.id, {
      phase: 'answered',
      winner: attempt.id,
      ran: 'yes',
      answer,
      ...(isCut ? { plan: { ...plan, steps: [first, ...others] } } : {}),
    });
  }

  private _queueNext(request: IRequestEntry, attempt: IAttemptEntry, version: string): void {
    const { answer } = attempt;
    if (answer?.kind !== 'model') return;
    const draft = { version: answer.version, usage: answer.usage };
    const escalatedFrom = [...request.escalatedFrom, draft];
    const ran = 'yes';
    this._options.board.requests.update(request.id, {
      phase: 'queued',
      version,
      winner: undefined,
      escalatedFrom,
      ran,
    });
  }
}
