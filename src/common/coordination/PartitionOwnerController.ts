import type { Blackboard } from '../blackboard/Blackboard.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';
import { FencedOwner, type StopReason } from './FencedOwner.js';
import { Lease, readLeaseHolder } from './Lease.js';
import type { PartitionLog } from './PartitionLog.js';
import { RendezvousRanking, type HashTexts } from './Rendezvous.js';
import type { IStore } from './Types.js';

/** Options of the partition owner controller. */
export interface IPartitionOwnerOptions {
  board: Blackboard;
  store: IStore;
  clock: IClock;
  host: string;
  partitions: number;
  createId: () => string;
  hash: HashTexts;
  createLog: (partition: number) => PartitionLog;
  /** Number of highest-ranked hosts that compete for each partition. Default 3. */
  candidates?: number;
  /**
   * The owner hands a partition over after another host has been first in rank for this long. Default 10,000.
   */
  handoverDelayMs?: Millis;
  /** Time to live of a partition's lease. Default 3500. */
  leaseTtlMs?: Millis;
}

/**
 * Shortest time between two hand-overs of a partition to the host that is first in rank. If that host
 * cannot take the partition, each hand-over costs up to a second without an owner.
 */
const MIN_HANDOVER_INTERVAL_MS = 300_000;

/** Interval at which a host that does not compete for a partition reads its lease until it has a holder. */
const OWNER_READ_INTERVAL_MS: Millis = 1000;

/** What this host keeps for one partition. */
interface ILocalPartition {
  owner: FencedOwner;
  log: PartitionLog | undefined;
  handoverTimer: IDisposable | undefined;
  /** Timer of the next read of the lease, after a read that found no holder. */
  ownerReadTimer: IDisposable | undefined;
  lastHandoverAt: Millis;
}

/**
 * Distributes the journal's partitions over the alive hosts and writes the `partitions` panel. The lease of
 * a partition only avoids contention between owners. What keeps the journal consistent is the log itself,
 * which fences former owners. A log therefore stays open when its lease expires during a store outage, until
 * another holder of the lease is seen.
 */
export class PartitionOwnerController extends Disposable {
  private readonly _options: Required<IPartitionOwnerOptions>;
  private readonly _ranking: RendezvousRanking;
  private readonly _partitions: ILocalPartition[];
  private readonly _refreshesInFlight = new Map<number, Promise<boolean>>();

  constructor(options: IPartitionOwnerOptions) {
    super();
    this._options = { candidates: 3, handoverDelayMs: 10_000, leaseTtlMs: 3500, ...options };
    this._ranking = new RendezvousRanking(options.hash);
    this._partitions = Array.from({ length: options.partitions }, (_, partition) => ({
      owner: this._createOwner(partition),
      log: undefined,
      handoverTimer: undefined,
      ownerReadTimer: undefined,
      lastHandoverAt: Number.NEGATIVE_INFINITY,
    }));
    const { board } = this._options;
    this._register(
      board.hosts.onChange(({ before, after }) => {
        if (before?.state !== after?.state) this._checkRanks();
      }),
    );
    this._register(
      board.partitions.onChange(({ key, after }) => {
        if (after?.phase === 'fenced') this._closeFencedLog(key);
      }),
    );
  }

  /**
   * Starts to compete for the partitions, and reads the owner of each one. Resolves with false when the
   * store did not answer.
   */
  public async run(): Promise<boolean> {
    for (const { owner } of this._partitions) owner.run();
    const reads = this._partitions.map((_, partition) => this.refreshOwner(partition));
    return (await Promise.all(reads)).every((isAnswered) => isAnswered);
  }

  /** Finds the log of a partition; `undefined` unless this host owns the partition. */
  public findLog(partition: number): PartitionLog | undefined {
    const log = this._partitions[partition]?.log;
    return this._options.board.partitions.get(partition)?.phase === 'owned' ? log : undefined;
  }

  /**
   * Reads the lease of a partition that another host may own. Resolves with false when the store did
   * not answer. Overlapping calls share one read, so that a takeover costs one read per host and partition.
   */
  public refreshOwner(partition: number): Promise<boolean> {
    const refreshInFlight = this._refreshesInFlight.get(partition);
    if (refreshInFlight) return refreshInFlight;
    const refresh = this._readOwner(partition).finally(() => this._refreshesInFlight.delete(partition));
    this._refreshesInFlight.set(partition, refresh);
    return refresh;
  }

  /** Commits all accepted entries, hands every partition over and stops competing. */
  public async drain(): Promise<void> {
    await Promise.all(this._partitions.map(({ owner }) => owner.drain()));
    this.dispose();
  }

  public override dispose(): void {
    super.dispose();
    this._partitions.forEach(({ owner, handoverTimer, ownerReadTimer }, partition) => {
      handoverTimer?.dispose();
      ownerReadTimer?.dispose();
      owner.dispose();
      this._closeLog(partition);
    });
  }

  private _createOwner(partition: number): FencedOwner {
    const { clock, createId, host, leaseTtlMs, store } = this._options;
    return new FencedOwner({
      name: formatLeaseName(partition),
      holder: host,
      store,
      clock,
      createId,
      ttlMs: leaseTtlMs,
      getOwnRank: () => this._rankSelf(partition),
      start: () => this._startLog(partition),
      stop: (reason) => this._stopLog(partition, reason),
      onHolder: (holder) => {
        this._applyHolder(partition, holder);
      },
    });
  }

  private async _readOwner(partition: number): Promise<boolean> {
    const found = await this._options.store.get(Lease.formatKey(formatLeaseName(partition)));
    if (found.isErr) return false;
    const holder = readLeaseHolder(found.value);
    this._applyHolder(partition, holder);
    if (holder === undefined) this._scheduleOwnerRead(partition);
    return true;
  }

  /**
   * Schedules another read of the lease, unless this host competes for it then: a candidate learns of the
   * holder while it waits for the lease.
   */
  private _scheduleOwnerRead(partition: number): void {
    const local = this._partitions[partition];
    if (!local || this._isDisposed) return;
    local.ownerReadTimer?.dispose();
    local.ownerReadTimer = this._options.clock.schedule(OWNER_READ_INTERVAL_MS, () => {
      if (this._options.board.partitions.get(partition)?.owner !== undefined) return;
      if (this._rankSelf(partition) === undefined) void this.refreshOwner(partition);
      else this._scheduleOwnerRead(partition);
    });
  }

  private async _startLog(partition: number): Promise<boolean> {
    const local = this._partitions[partition];
    if (!local || this._isDisposed) return false;
    this._scheduleHandover(partition);
    if (this.findLog(partition)) return true;
    this._closeLog(partition);
    const log = this._options.createLog(partition);
    local.log = log;
    return (await log.open()).isOk;
  }

  private async _stopLog(partition: number, reason: StopReason): Promise<void> {
    this._partitions[partition]?.handoverTimer?.dispose();
    const log = this.findLog(partition);
    if (reason === 'lost' && log) return;
    await log?.drain();
    this._closeLog(partition);
  }

  private _closeLog(partition: number): void {
    const local = this._partitions[partition];
    const log = local?.log;
    if (!local || !log) return;
    local.log = undefined;
    log.dispose();
  }

  private _closeFencedLog(partition: number): void {
    this._closeLog(partition);
    this._partitions[partition]?.owner.release();
  }

  private _applyHolder(partition: number, holder: string | undefined): void {
    const { board, host } = this._options;
    if (holder === host) return;
    if (holder !== undefined && this._partitions[partition]?.owner.phase !== 'owning') {
      this._closeLog(partition);
    }
    const known = board.partitions.get(partition);
    if (known?.phase === 'owned' || known?.phase === 'loading') return;
    if (known && known.owner === holder) return;
    const { epoch, nextSequence } = known ?? { epoch: 0, nextSequence: 0 };
    board.partitions.set(partition, { partition, phase: 'unowned', owner: holder, epoch, nextSequence });
  }

  private _checkRanks(): void {
    this._partitions.forEach(({ owner }, partition) => {
      owner.checkRank();
      if (owner.phase === 'owning') this._scheduleHandover(partition);
    });
  }

  /** Schedules the hand-over of a partition if another host is first in rank. */
  private _scheduleHandover(partition: number): void {
    const { clock, handoverDelayMs } = this._options;
    const local = this._partitions[partition];
    if (!local) return;
    local.handoverTimer?.dispose();
    const rank = this._rankSelf(partition);
    if (rank === 0) return;
    const earliest = local.lastHandoverAt + MIN_HANDOVER_INTERVAL_MS - clock.now();
    // A host that is marked as leaving has no rank and hands its partitions over without delay.
    const delay = rank === undefined ? 0 : Math.max(handoverDelayMs, earliest);
    local.handoverTimer = clock.schedule(delay, () => {
      if (this._rankSelf(partition) === 0) return;
      local.lastHandoverAt = clock.now();
      local.owner.release();
    });
  }

  private _rankSelf(partition: number): number | undefined {
    const { candidates, host } = this._options;
    const rank = this._ranking.rank(formatLeaseName(partition), this._listAlive(), host);
    return rank !== undefined && rank < candidates ? rank : undefined;
  }

  private *_listAlive(): IterableIterator<string> {
    for (const host of this._options.board.hosts.list()) if (host.state === 'alive') yield host.id;
  }
}

function formatLeaseName(partition: number): string {
  return `journal/${partition}`;
}
