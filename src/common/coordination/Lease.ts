import { Result } from 'true-myth';
import { Emitter } from '../Event.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';
import type { IStore, IStoreValue, StoreError } from './Types.js';

/** Value of a lease key. An empty holder marks a lease that was released and can be taken at once. */
export interface ILeaseRecord {
  holder: string;
  /** Unique id of the acquisition; differs between acquisitions by the same holder, too. */
  nonce: string;
  /** Number of renewals since the acquisition. */
  renewal: number;
}

/**
 * Why a lease could not be taken or renewed. After `unavailable`, a held lease stays held until it expires.
 */
export type LeaseError =
  { kind: 'held'; holder: string } | { kind: 'unavailable'; message: string } | { kind: 'lost' };

/** Options of a lease. */
export interface ILeaseOptions {
  /** The store key is `lease/<name>`. */
  name: string;
  holder: string;
  store: IStore;
  clock: IClock;
  createId: () => string;
  /** Time after the last renewal at which the store removes the key. Default 3500. */
  ttlMs?: Millis;
  /** The holder stops acting this long before the store can remove the key. Default 700. */
  marginMs?: Millis;
}

/** Time to live of the marker that a release writes. It only has to last until watchers have seen it. */
const RELEASE_MARKER_TTL_MS = 2000;

/**
 * An exclusive lease over a key of the store. `token` grows with every acquisition by any holder, so
 * a receiver that remembers the highest token can reject a former holder.
 *
 * ```ts
 * const taken = await lease.acquire();
 * if (taken.isOk && lease.isHeld()) await sendCommand({ token: taken.value });
 * ```
 */
export class Lease extends Disposable {
  private readonly _options: Required<ILeaseOptions>;
  private readonly _lossEmitter = this._register(new Emitter<number>());
  private _record: ILeaseRecord | undefined;
  private _version = 0;
  private _token = 0;
  private _renewalCount = 0;
  private _renewing: Promise<Result<number, LeaseError>> | undefined;
  private _isReleasing = false;
  private _heldUntil: Millis = Number.NEGATIVE_INFINITY;
  private _expiryTimer: IDisposable | undefined;

  /** Fires with the token when the lease ended without a release. */
  public readonly onLost = this._lossEmitter.event;

  constructor(options: ILeaseOptions) {
    super();
    this._options = { ttlMs: 3500, marginMs: 700, ...options };
  }

  /** Store key of a lease. */
  public static formatKey(name: string): string {
    return `lease/${name}`;
  }

  /** Fencing token of the last acquisition; 0 before the first one. */
  public get token(): number {
    return this._token;
  }

  /** Tells whether the holder may still act. Check before each action: the process may have been paused. */
  public isHeld(): boolean {
    return this._record !== undefined && !this._isReleasing && this._options.clock.now() < this._heldUntil;
  }

  /** Tries once to take the lease; resolves with the fencing token. */
  public async acquire(): Promise<Result<number, LeaseError>> {
    if (this.isHeld()) return Result.ok(this._token);
    this._dropRecord();
    const found = await this._options.store.get(this._key);
    if (found.isErr) return Result.err(mapStoreError(found.error));
    const current = found.value ? decodeLease(found.value) : undefined;
    if (current && current.holder !== '') return Result.err({ kind: 'held', holder: current.holder });
    const { holder } = this._options;
    return this._write({ holder, nonce: this._options.createId(), renewal: 0 }, found.value?.version ?? 0);
  }

  /**
   * Extends the lease. Overlapping calls share one write. After `unavailable` it may still be held; see
   * `isHeld`.
   */
  public async renew(): Promise<Result<number, LeaseError>> {
    if (this._renewing) return this._renewing;
    const record = this._record;
    if (!record || !this.isHeld()) {
      this._handleLoss();
      return Result.err({ kind: 'lost' });
    }
    this._renewalCount += 1;
    this._renewing = this._write({ ...record, renewal: this._renewalCount }, this._version);
    const renewed = await this._renewing;
    this._renewing = undefined;
    return renewed;
  }

  /** Releases the lease at once; a waiting host sees the release through its watch. */
  public async release(): Promise<void> {
    if (!this._record) return;
    this._isReleasing = true;
    // A renewal in flight changes the version that the marker must replace, so wait for its result.
    await this._renewing;
    const marker: ILeaseRecord = { holder: '', nonce: '', renewal: 0 };
    // A failed release needs no repeat: the key expires by itself.
    await this._options.store.put(this._key, JSON.stringify(marker), {
      expectedVersion: this._version,
      ttlMs: RELEASE_MARKER_TTL_MS,
    });
    this._dropRecord();
  }

  public override dispose(): void {
    this._dropRecord();
    super.dispose();
  }

  private async _write(record: ILeaseRecord, expectedVersion: number): Promise<Result<number, LeaseError>> {
    const { clock, store, ttlMs } = this._options;
    // The store starts to count the time to live after this moment, so the holder's own deadline is earlier.
    const sentAt = clock.now();
    const written = await store.put(this._key, JSON.stringify(record), { expectedVersion, ttlMs });
    if (written.isOk) return this._acceptWrite(record, written.value, sentAt);
    if (written.error.kind === 'conflict') return this._resolveWrite(record, written.error.current, sentAt);
    const found = await store.get(this._key);
    if (found.isErr) return Result.err(mapStoreError(written.error));
    if ((found.value?.version ?? 0) === expectedVersion) return Result.err(mapStoreError(written.error));
    return this._resolveWrite(record, found.value, sentAt);
  }

  /** Decides from the current value of the key whether a write with an unknown outcome took effect. */
  private _resolveWrite(
    record: ILeaseRecord,
    found: IStoreValue | undefined,
    sentAt: Millis,
  ): Result<number, LeaseError> {
    const current = found ? decodeLease(found) : undefined;
    if (found && current?.nonce === record.nonce) {
      if (current.renewal === record.renewal) return this._acceptWrite(record, found.version, sentAt);
      // An earlier renewal reached the store late. It does not extend the lease, but the next write must name
      // its version.
      this._version = found.version;
      return Result.err({ kind: 'unavailable', message: 'The renewal has not arrived.' });
    }
    this._handleLoss();
    if (current && current.holder !== '') return Result.err({ kind: 'held', holder: current.holder });
    return Result.err({ kind: 'lost' });
  }

  private _acceptWrite(record: ILeaseRecord, version: number, sentAt: Millis): Result<number, LeaseError> {
    const { clock, marginMs, ttlMs } = this._options;
    const heldUntil = sentAt + ttlMs - marginMs;
    if (this._isDisposed || clock.now() >= heldUntil) {
      this._handleLoss();
      return Result.err({ kind: 'lost' });
    }
    if (record.renewal === 0) {
      this._token = version;
      this._renewalCount = 0;
    }
    this._record = record;
    this._version = version;
    this._heldUntil = heldUntil;
    this._expiryTimer?.dispose();
    this._expiryTimer = clock.schedule(heldUntil - clock.now(), () => {
      this._handleLoss();
    });
    return Result.ok(this._token);
  }

  private _handleLoss(): void {
    if (!this._record) return;
    this._dropRecord();
    this._lossEmitter.fire(this._token);
  }

  private _dropRecord(): void {
    this._record = undefined;
    this._isReleasing = false;
    this._heldUntil = Number.NEGATIVE_INFINITY;
    this._expiryTimer?.dispose();
  }

  private get _key(): string {
    return Lease.formatKey(this._options.name);
  }
}

/** Reads the holder of a lease from the value of its key; `undefined` when nobody holds it. */
export function readLeaseHolder(value: IStoreValue | undefined): string | undefined {
  const holder = value ? decodeLease(value).holder : '';
  return holder === '' ? undefined : holder;
}

function decodeLease(value: IStoreValue): ILeaseRecord {
  return JSON.parse(value.value) as ILeaseRecord;
}

function mapStoreError(error: StoreError): LeaseError {
  if (error.kind === 'conflict') return { kind: 'lost' };
  return { kind: 'unavailable', message: error.message };
}
