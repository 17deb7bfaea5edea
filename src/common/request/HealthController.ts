import type { Blackboard } from '../blackboard/Blackboard.js';
import type { EndpointHealth, IAttemptEntry, IEndpointEntry } from '../blackboard/Types.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import { computeMedian } from '../policy/Endpoints.js';
import { computeProbeDelay } from '../policy/Health.js';
import type { IClock } from '../Types.js';
import { listPoolsOf, type EndpointIndex } from './EndpointIndex.js';
import type { DecideHealth } from './Types.js';

/** Options of the health controller. */
export interface IHealthOptions {
  board: Blackboard;
  clock: IClock;
  index: EndpointIndex;
  decideHealth: DecideHealth;
}

/** Interval at which the health of a suspect endpoint is decided again once its probe delay has passed. */
const SUSPECT_RECHECK_MS = 200;

/**
 * Moves endpoints between `healthy`, `suspect` and `probing`, and to `leaving` as soon as a load report, a response or
 * a failed attempt says that the endpoint is shutting down.
 */
export class HealthController extends Disposable {
  private readonly _failedProbes = new Map<string, number>();
  private readonly _timers = new Map<string, IDisposable>();

  constructor(private readonly _options: IHealthOptions) {
    super();
    const { board } = _options;
    this._register(
      board.endpoints.onChange(({ before, after }) => {
        if (after) this._handleChange(before, after);
        else if (before) this._stopTimer(before.id);
      }),
    );
    this._register(
      board.attempts.onChange(({ before, after }) => {
        if (after && before?.phase !== after.phase) this._handleAttempt(after);
      }),
    );
  }

  public override dispose(): void {
    super.dispose();
    for (const timer of this._timers.values()) timer.dispose();
    this._timers.clear();
  }

  private _handleChange(before: IEndpointEntry | undefined, after: IEndpointEntry): void {
    const hasReportedLeaving = after.report?.isLeaving && after.report !== before?.report;
    if (hasReportedLeaving || (after.hasSaidLeaving && !before?.hasSaidLeaving)) {
      this._markLeaving(after.id);
      return;
    }
    const hasNewMeasurement =
      before?.recentTokenMs !== after.recentTokenMs ||
      before?.firstTokenWaitMs !== after.firstTokenWaitMs ||
      before?.consecutiveFailures !== after.consecutiveFailures;
    if (hasNewMeasurement) this._updateHealth(after.id, false);
  }

  private _handleAttempt(attempt: IAttemptEntry): void {
    if (attempt.phase === 'failed' && attempt.error?.kind === 'leaving') this._markLeaving(attempt.endpoint);
    const endpoint = this._options.board.endpoints.get(attempt.endpoint);
    if (attempt.phase !== 'finished' || endpoint?.health !== 'probing') return;
    if (attempt.plannedAt >= endpoint.healthChangedAt) this._updateHealth(endpoint.id, true);
  }

  private _updateHealth(id: string, hasProbeSucceeded: boolean): void {
    const { board, clock, decideHealth } = this._options;
    const endpoint = board.endpoints.get(id);
    if (!endpoint) return;
    const peers = this._listPeers(endpoint);
    const health = decideHealth({
      endpoint,
      peerTokenMs: computeMedian(peers.map((peer) => peer.recentTokenMs ?? peer.tokenMs)),
      peerFirstTokenMs: computeMedian(peers.map(estimateFirstTokenMs)),
      poolSize: peers.length + 1,
      ejectedPeers: peers.filter((peer) => peer.health !== 'healthy').length,
      failedProbes: this._failedProbes.get(id) ?? 0,
      hasProbeSucceeded,
      now: clock.now(),
    });
    if (health !== endpoint.health) this._setHealth(endpoint, health);
  }

  private _setHealth(endpoint: IEndpointEntry, health: EndpointHealth): void {
    const { board, clock } = this._options;
    const { id } = endpoint;
    if (endpoint.health === 'probing' && health === 'suspect') {
      this._failedProbes.set(id, (this._failedProbes.get(id) ?? 0) + 1);
    }
    if (health === 'healthy') this._failedProbes.delete(id);
    // Reset the measurements that made the endpoint suspect, so that they do not count against its recovery.
    const isRecovering = endpoint.health === 'suspect' || health === 'healthy';
    const reset: Partial<IEndpointEntry> = isRecovering
      ? { consecutiveFailures: 0, firstTokenMs: undefined, tokenMs: undefined }
      : {};
    board.endpoints.update(id, { ...reset, health, healthChangedAt: clock.now() });
    if (health === 'suspect') this._startTimer(id, computeProbeDelay(this._failedProbes.get(id) ?? 0));
    else this._stopTimer(id);
  }

  private _startTimer(id: string, delay: number): void {
    this._stopTimer(id);
    const timer = this._options.clock.schedule(delay, () => {
      this._timers.delete(id);
      this._updateHealth(id, false);
      const isStillSuspect = this._options.board.endpoints.get(id)?.health === 'suspect';
      if (isStillSuspect && !this._timers.has(id)) this._startTimer(id, SUSPECT_RECHECK_MS);
    });
    this._timers.set(id, timer);
  }

  private _stopTimer(id: string): void {
    this._timers.get(id)?.dispose();
    this._timers.delete(id);
  }

  private _markLeaving(id: string): void {
    const { board, clock } = this._options;
    const health = board.endpoints.get(id)?.health;
    if (health === undefined || health === 'leaving' || health === 'gone') return;
    this._stopTimer(id);
    board.endpoints.update(id, { health: 'leaving', healthChangedAt: clock.now() });
  }

  private _listPeers(endpoint: IEndpointEntry): Readonly<IEndpointEntry>[] {
    const [pool] = listPoolsOf(endpoint);
    const members = pool === undefined ? [] : this._options.index.listPool(pool);
    return members.filter(({ id }) => id !== endpoint.id);
  }
}

/**
 * Returns the smoothed time to first token or the current longest wait for one, whichever is larger. The
 * current wait makes a slowdown of all peers visible before their attempts show output.
 */
function estimateFirstTokenMs({ firstTokenMs, firstTokenWaitMs }: IEndpointEntry): number | undefined {
  if (firstTokenMs === undefined) return firstTokenWaitMs;
  return Math.max(firstTokenMs, firstTokenWaitMs ?? 0);
}
