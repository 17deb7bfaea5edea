import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IEndpointEntry } from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';
import { computeSlotShare, type ComputeRefusalPause } from '../policy/RefusalPauses.js';
import type { IClock } from '../Types.js';

/** Options of the refusal pause controller. */
export interface IRefusalPauseOptions {
  board: Blackboard;
  clock: IClock;
  computePause: ComputeRefusalPause;
}

/**
 * Keeps brittle endpoints from having to refuse attempts for want of room, by which they crash: sends each no more than
 * this host's share of its slots, pauses one that has refused an attempt, and then sends it one at first. All endpoints of
 * a service are brittle at the same time, so one that has not said so to this host yet is paused like the others.
 */
export class RefusalPauseController extends Disposable {
  constructor(private readonly _options: IRefusalPauseOptions) {
    super();
    this._register(
      _options.board.endpoints.onChange(({ before, after }) => {
        if (!after) return;
        if (after.maxRefusalsPerS !== undefined && before?.maxRefusalsPerS === undefined)
          this._limitToShare(after);
        // This comes before the attempt gives up its place, which a queued request would take at once.
        if (after.refusedAt !== undefined && after.refusedAt !== before?.refusedAt)
          this._handleRefusal(after);
      }),
    );
  }

  private _handleRefusal(endpoint: Readonly<IEndpointEntry>): void {
    const { board, clock, computePause } = this._options;
    const maxRefusalsPerS = this._findLimit(endpoint);
    if (maxRefusalsPerS === undefined) return;
    const hostCount = Math.max(1, board.presentHosts.size);
    const pausedUntil = Math.max(
      endpoint.pausedUntil ?? -Infinity,
      clock.now() + computePause({ maxRefusalsPerS, hostCount }),
    );
    // What has queued meanwhile would otherwise be sent, and refused, all at once.
    board.endpoints.update(endpoint.id, { pausedUntil, inFlightLimit: 1 });
  }

  /** Lowers the limit of an endpoint that has just said that it is brittle. */
  private _limitToShare({ id, inFlightLimit, slots }: Readonly<IEndpointEntry>): void {
    const { board } = this._options;
    if (slots === undefined) return;
    const share = computeSlotShare(slots, Math.max(1, board.presentHosts.size));
    if (share < (inFlightLimit ?? Infinity)) board.endpoints.update(id, { inFlightLimit: share });
  }

  /** Finds the refusals in a second that an endpoint bears; `undefined` if its service is not known to be brittle. */
  private _findLimit({ maxRefusalsPerS, service }: Readonly<IEndpointEntry>): number | undefined {
    if (maxRefusalsPerS !== undefined) return maxRefusalsPerS;
    let lowest: number | undefined;
    for (const other of this._options.board.endpoints.list())
      if (other.service === service && other.maxRefusalsPerS !== undefined)
        lowest = Math.min(lowest ?? Infinity, other.maxRefusalsPerS);
    return lowest;
  }
}
