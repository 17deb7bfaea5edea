import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { Millis } from '../Types.js';
import { Lease, readLeaseHolder, type ILeaseOptions } from './Lease.js';

/** Why a job stops: its lease was lost, or this host released it. */
export type StopReason = 'lost' | 'released';

/** State of a fenced owner. */
export type OwnerPhase = 'idle' | 'standby' | 'owning' | 'stopped';

/** Options of a fenced owner. */
export interface IFencedOwnerOptions extends ILeaseOptions {
  /**
   * Returns the rank of this host among the candidates, 0 for the first; `undefined` when this host must
   * not own the job. Call `checkRank` after the rank has changed.
   */
  getOwnRank: () => number | undefined;
  /** Starts the job; resolves with false when it could not start, and the lease is then released. */
  start: (token: number) => Promise<boolean>;
  /** Stops the job. Called once for each start, even if the start failed. */
  stop: (reason: StopReason) => Promise<void>;
  /** Called each time this host learns who holds the lease; with `undefined` when nobody holds it. */
  onHolder?: (holder: string | undefined) => void;
  /** Default 1000. */
  renewIntervalMs?: Millis;
  /** Wait after a failed store call or a failed start. Default 500. */
  retryDelayMs?: Millis;
  /**
   * Delay per rank before a candidate tries to take a free lease, so that lower ranks try first. Default 300.
   */
  rankDelayMs?: Millis;
}

/**
 * Gives a named job one owner at a time. All candidates watch the lease key. The watch returns at each
 * renewal and at a release, and times out when the key has expired. A successor therefore starts at
 * most one time to live of the lease after the owner's process has ended, and at once after a release.
 */
export class FencedOwner extends Disposable {
  private readonly _options: Required<IFencedOwnerOptions>;
  private readonly _lease: Lease;
  private _phase: OwnerPhase = 'idle';
  private _isReleaseRequested = false;
  private _isStopRequested = false;
  private _resolveWait: (() => void) | undefined;
  private _candidacyEnded: Promise<void> = Promise.resolve();

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
        this._endWait();
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

  /** Tells whether this host owns the job and its lease is still held, so that the job may act. */
  public isOwner(): boolean {
    return this._phase === 'owning' && this._lease.isHeld();
  }

  /** Starts to compete for the job. */
  public run(): void {
    if (this._phase !== 'idle') return;
    this._phase = 'standby';
    this._candidacyEnded = this._runCandidate();
  }

  /** Reads the rank of this host again. A host that owns the job keeps it until `release` is called. */
  public checkRank(): void {
    if (this._phase === 'standby') this._endWait();
  }

  /** Stops the job and hands it to the next candidate. This host stays a candidate. */
  public release(): void {
    if (this._phase !== 'owning') return;
    this._isReleaseRequested = true;
    this._endWait();
  }

  /** Stops the job, hands it over and stops competing. */
  public async drain(): Promise<void> {
    this._isStopRequested = true;
    this._isReleaseRequested = true;
    this._endWait();
    await this._candidacyEnded;
    this.dispose();
  }

  /** Stops competing without a hand-over; a running job is stopped with the reason `lost`. */
  public override dispose(): void {
    this._isStopRequested = true;
    super.dispose();
    this._endWait();
  }

  private async _runCandidate(): Promise<void> {
    while (!this._hasStopBeenRequested()) {
      const rank = this._options.getOwnRank();
      if (rank === undefined) await this._wait(undefined);
      else if (await this._waitForTurn(rank)) await this._runJob();
    }
    this._phase = 'stopped';
  }

  /** Waits until the lease is free, then tries to take it. Resolves with true when it was taken. */
  private async _waitForTurn(rank: number): Promise<boolean> {
    const { onHolder, rankDelayMs, retryDelayMs, store, ttlMs } = this._options;
    const key = Lease.formatKey(this._options.name);
    let found = await store.get(key);
    while (
      found.isOk &&
      found.value &&
      readLeaseHolder(found.value) !== undefined &&
      !this._hasStopBeenRequested()
    ) {
      onHolder(readLeaseHolder(found.value));
      found = await store.watch(key, found.value.version, ttlMs);
      // A watch that timed out does not tell whether the key still exists.
      if (found.isOk && !found.value) found = await store.get(key);
    }
    if (this._hasStopBeenRequested()) return false;
    if (found.isErr) {
      await this._wait(retryDelayMs);
      return false;
    }
    onHolder(undefined);
    await this._wait(rank * rankDelayMs);
    if (this._hasStopBeenRequested() || this._options.getOwnRank() === undefined) return false;
    const taken = await this._lease.acquire();
    if (taken.isErr && taken.error.kind !== 'held') await this._wait(retryDelayMs);
    return taken.isOk;
  }

  private async _runJob(): Promise<void> {
    const { holder, onHolder, retryDelayMs, start, stop } = this._options;
    this._phase = 'owning';
    this._isReleaseRequested = this._hasStopBeenRequested();
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
    while (!this._isReleaseRequested && this._lease.isHeld()) {
      await this._wait(this._options.renewIntervalMs);
      // Not awaited: the job must stop when the lease ends, even if the store does not answer.
      if (this._needsRenewal()) void this._lease.renew();
    }
  }

  private _needsRenewal(): boolean {
    return !this._isReleaseRequested && this._lease.isHeld();
  }

  /** Waits for `duration`, or without a limit when it is undefined. `_endWait` ends the wait early. */
  private _wait(duration: Millis | undefined): Promise<void> {
    if (this._isStopRequested) return Promise.resolve();
    return new Promise((resolve) => {
      let timer: IDisposable | undefined;
      const end = (): void => {
        timer?.dispose();
        this._resolveWait = undefined;
        resolve();
      };
      this._resolveWait = end;
      if (duration !== undefined) timer = this._options.clock.schedule(duration, end);
    });
  }

  /** Reads the flag in a method, as the compiler would not expect a field to change during an `await`. */
  private _hasStopBeenRequested(): boolean {
    return this._isStopRequested;
  }

  private _endWait(): void {
    this._resolveWait?.();
  }
}
