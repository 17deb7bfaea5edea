import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { Millis } from '../Types.js';
import { Lease, readHolder, type ILeaseOptions } from './Lease.js';

/** Why a job stops: its lease ran out, or this host gave it up. */
export type StopReason = 'lost' | 'released';

/** State of a fenced owner. */
export type OwnerPhase = 'idle' | 'standby' | 'owning' | 'stopped';

/** Options of a fenced owner. */
export interface IFencedOwnerOptions extends ILeaseOptions {
  /**
   * Place of this host among the candidates, 0 first; `undefined` when it shall not own the job. Call
   * `checkRank` after a change.
   */
  rankSelf: () => number | undefined;
  /** Starts the job; resolves with false when it could not start and the lease shall be given up. */
  start: (token: number) => Promise<boolean>;
  /** Stops the job. Called once for each start, also when the start failed. */
  stop: (reason: StopReason) => Promise<void>;
  /** Called with the holder that the lease key names, `undefined` for none. */
  onHolder?: (holder: string | undefined) => void;
  /** Default 1000. */
  renewIntervalMs?: Millis;
  /** Wait after a failed store call or a failed start. Default 500. */
  retryDelayMs?: Millis;
  /** Head start that each candidate gives to the one before it. Default 300. */
  rankDelayMs?: Millis;
}

/**
 * Keeps one named job with one owner. Candidates watch the lease key; the watch returns at each
 * renewal and at a release, and times out when the key has expired. A successor therefore starts at
 * most a lease's time to live after the owner's death, and at once after a release.
 */
export class FencedOwner extends Disposable {
  private readonly _options: Required<IFencedOwnerOptions>;
  private readonly _lease: Lease;
  private _phase: OwnerPhase = 'idle';
  private _isReleasing = false;
  private _isLeaving = false;
  private _wake: (() => void) | undefined;
  private _ended: Promise<void> = Promise.resolve();

  constructor(options: IFencedOwnerOptions) {
    super();
    this._options = {
      ttlMs: 3500,
      marginMs: 700,
      renewIntervalMs: 1000,
      retryDelayMs: 500,
      rankDelayMs: 300,
      onHolder: () => undefined,
      ...options,
    };
    this._lease = this._register(new Lease(options));
    this._register(
      this._lease.onLost(() => {
        this._resumeWait();
      }),
    );
  }

  public get phase(): OwnerPhase {
    return this._phase;
  }

  /** Fencing token of the last acquisition. */
  public get token(): number {
    return this._lease.token;
  }

  /** Tells whether the job may act now. */
  public isOwner(): boolean {
    return this._phase === 'owning' && this._lease.isHeld();
  }

  /** Starts to compete for the job. */
  public run(): void {
    if (this._phase !== 'idle') return;
    this._phase = 'standby';
    this._ended = this._runCandidate();
  }

  /** Looks at the rank again. An owner keeps the job until `release`. */
  public checkRank(): void {
    if (this._phase === 'standby') this._resumeWait();
  }

  /** Stops the job and hands it to the next candidate. This host stays a candidate. */
  public release(): void {
    if (this._phase !== 'owning') return;
    this._isReleasing = true;
    this._resumeWait();
  }

  /** Stops the job, hands it over and stops competing. */
  public async drain(): Promise<void> {
    this._isLeaving = true;
    this._isReleasing = true;
    this._resumeWait();
    await this._ended;
    this.dispose();
  }

  /** Stops competing without a hand-over; a running job is stopped as `lost`. */
  public override dispose(): void {
    this._isLeaving = true;
    super.dispose();
    this._resumeWait();
  }

  private async _runCandidate(): Promise<void> {
    while (!this._hasLeft()) {
      const rank = this._options.rankSelf();
      if (rank === undefined) await this._wait(undefined);
      else if (await this._waitForTurn(rank)) await this._runJob();
    }
    this._phase = 'stopped';
  }

  /** Resolves with true once the lease is taken. */
  private async _waitForTurn(rank: number): Promise<boolean> {
    const { onHolder, rankDelayMs, retryDelayMs, store, ttlMs } = this._options;
    const key = Lease.formatKey(this._options.name);
    let found = await store.get(key);
    while (found.isOk && found.value && readHolder(found.value) !== undefined && !this._hasLeft()) {
      onHolder(readHolder(found.value));
      found = await store.watch(key, found.value.version, ttlMs);
      // A watch that timed out says nothing about the key.
      if (found.isOk && !found.value) found = await store.get(key);
    }
    if (this._hasLeft()) return false;
    if (found.isErr) {
      await this._wait(retryDelayMs);
      return false;
    }
    onHolder(undefined);
    await this._wait(rank * rankDelayMs);
    if (this._hasLeft() || this._options.rankSelf() === undefined) return false;
    const taken = await this._lease.acquire();
    if (taken.isErr && taken.error.kind !== 'held') await this._wait(retryDelayMs);
    return taken.isOk;
  }

  private async _runJob(): Promise<void> {
    const { holder, onHolder, retryDelayMs, start, stop } = this._options;
    this._phase = 'owning';
    this._isReleasing = this._hasLeft();
    onHolder(holder);
    const starting = start(this._lease.token).then((isStarted) => {
      if (!isStarted) this.release();
      return isStarted;
    });
    await this._renewWhileHeld();
    const reason: StopReason = this._lease.isHeld() ? 'released' : 'lost';
    await stop(reason);
    const isStarted = await starting;
    await this._lease.release();
    this._phase = 'standby';
    if (!isStarted) await this._wait(retryDelayMs);
  }

  private async _renewWhileHeld(): Promise<void> {
    while (!this._isReleasing && this._lease.isHeld()) {
      await this._wait(this._options.renewIntervalMs);
      // Not awaited: the job must stop at the lease's end even while the store does not answer.
      if (this._needsRenewal()) void this._lease.renew();
    }
  }

  private _needsRenewal(): boolean {
    return !this._isReleasing && this._lease.isHeld();
  }

  /** Waits for a time or for ever; ends early when something changes. */
  private _wait(duration: Millis | undefined): Promise<void> {
    if (this._isLeaving) return Promise.resolve();
    return new Promise((resolve) => {
      let timer: IDisposable | undefined;
      const end = (): void => {
        timer?.dispose();
        this._wake = undefined;
        resolve();
      };
      this._wake = end;
      if (duration !== undefined) timer = this._options.clock.schedule(duration, end);
    });
  }

  /** Read through a function, as the field changes while a caller waits. */
  private _hasLeft(): boolean {
    return this._isLeaving;
  }

  private _resumeWait(): void {
    this._wake?.();
  }
}
