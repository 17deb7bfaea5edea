import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IRequestEntry } from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';
import type { IClock } from '../Types.js';
import { refuseRequest } from './Refusals.js';
import type { DecideAdmission, IAdmissionView } from './Types.js';

/** Options of the admission controller. */
export interface IAdmissionOptions {
  board: Blackboard;
  clock: IClock;
  decideAdmission: DecideAdmission;
  /** Takes one request from this host's share of the account's rate limit; false if the share is used up. */
  takeRateShare: (request: IRequestEntry) => boolean;
  isDraining: () => boolean;
}

/**
 * Moves requests from `received` to `admitted` or `refused`, and counts the requests in flight per account.
 */
export class AdmissionController extends Disposable {
  private readonly _inFlight = new Map<string, number>();

  constructor(private readonly _options: IAdmissionOptions) {
    super();
    this._register(
      _options.board.requests.onChange(({ before, after }) => {
        if (!before && after) this._updateInFlight(after, 1);
        if (before && !after) this._updateInFlight(before, -1);
        if (after?.phase === 'received' && before?.phase !== 'received') this._admitRequest(after);
      }),
    );
  }

  private _admitRequest(request: IRequestEntry): void {
    const { board, clock, decideAdmission, isDraining, takeRateShare } = this._options;
    const view: IAdmissionView = {
      request,
      service: board.services.get(request.service),
      accountInFlight: this._inFlight.get(formatAccountKey(request)) ?? 0,
      hasRateShare: true,
      isDraining: isDraining(),
      now: clock.now(),
    };
    // Take from the rate share only if nothing else refuses the request.
    const decisionWithShare = decideAdmission(view);
    const decision =
      decisionWithShare.kind === 'admit' && !takeRateShare(request)
        ? decideAdmission({ ...view, hasRateShare: false })
        : decisionWithShare;
    if (decision.kind === 'refuse') refuseRequest(board, request.id, decision.refusal);
    else board.requests.update(request.id, { phase: 'admitted' });
  }

  private _updateInFlight(request: IRequestEntry, change: number): void {
    const key = formatAccountKey(request);
    const count = (this._inFlight.get(key) ?? 0) + change;
    if (count > 0) this._inFlight.set(key, count);
    else this._inFlight.delete(key);
  }
}

function formatAccountKey(request: IRequestEntry): string {
  return `${request.service}/${request.account}`;
}
