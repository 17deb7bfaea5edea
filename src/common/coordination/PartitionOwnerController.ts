import type { Blackboard } from '../blackboard/Blackboard.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';
import { FencedOwner, type StopReason } from './FencedOwner.js';
import { Lease, readHolder } from './Lease.js';
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
  /** Hosts that stand by for each partition besides its owner. Default 3. */
  candidates?: number;
  /** A partition moves to its first-ranked host after this one has been alive for so long. Default 10,000. */
  handoverDelayMs?: Millis;
  /** Time to live of a partition's lease. Default 3500. */
  leaseTtlMs?: Millis;
}

/**
 * A first-ranked host that cannot take a partition would make its owner hand it over again and
 * again; each try costs up to a second without an owner.
 */
const HANDOVER_REPEAT_MS = 300_000;

/** A host that does not stand by for a partition reads its lease again until it has a holder. */
const OWNER_READ_MS: Millis = 1000;

interface IOwnedPartition {
  owner: FencedOwner;
  log: PartitionLog | undefined;
  handover: IDisposable | undefined;
  /** Next read of a lease that had no holder. */
  read: IDisposable | undefined;
  lastHandoverAt: Millis;
}

/**
 * Spreads the journal's partitions over the alive hosts and writes the `partitions` panel. The lease
 * only avoids contention between owners; the log's own fence keeps the journal consistent. A log
 * therefore stays open when its lease runs out in a store outage, until another holder is seen.
 */
export class PartitionOwnerController extends Disposable {
  private readonly _options: Required<IPartitionOwnerOptions>;
  private readonly _ranking: RendezvousRanking;
  private readonly _partitions: IOwnedPartition[];
  private readonly _refreshes = new Map<number, Promise<boolean>>();

  constructor(options: IPartitionOwnerOptions) {
    super();
    this._options = { candidates: 3, handoverDelayMs: 10_000, leaseTtlMs: 3500, ...options };
    this._ranking = new RendezvousRanking(options.hash);
    this._partitions = Array.from({ length: options.partitions }, (_, partition) => ({
      owner: this._createOwner(partition),
      log: undefined,
      handover: undefined,
      read: undefined,
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
        if (after?.phase === 'fenced') this._closeFenced(key);
      }),
    );
  }

  /**
   * Starts to compete for partitions, and reads who owns the others. Resolves with false when the store
   * did not answer.
   */
  public async run(): Promise<boolean> {
    for (const { owner } of this._partitions) owner.run();
    const reads = this._partitions.map((_, partition) => this.refreshOwner(partition));
    return (await Promise.all(reads)).every((isRead) => isRead);
  }

  /** Log of a partition that this host owns. */
  public findLog(partition: number): PartitionLog | undefined {
    const log = this._partitions[partition]?.log;
    return this._options.board.partitions.get(partition)?.phase === 'owned' ? log : undefined;
  }

  /**
   * Reads the lease of a partition that another host may own. Resolves with false when the store did
   * not answer. Calls that overlap share one read, so a takeover costs one read a host and partition.
   */
  public refreshOwner(partition: number): Promise<boolean> {
    const running = this._refreshes.get(partition);
    if (running) return running;
    const refresh = this._readOwner(partition).finally(() => this._refreshes.delete(partition));
    this._refreshes.set(partition, refresh);
    return refresh;
  }

  /** Commits what was accepted, hands every partition over and takes no more. */
  public async drain(): Promise<void> {
    await Promise.all(this._partitions.map(({ owner }) => owner.drain()));
    this.dispose();
  }

  public override dispose(): void {
    super.dispose();
    this._partitions.forEach(({ owner, handover, read }, partition) => {
      handover?.dispose();
      read?.dispose();
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
      rankSelf: () => this._rankSelf(partition),
      start: () => this._startLog(partition),
      stop: (reason) => this._stopLog(partition, reason),
      onHolder: (holder) => {
        this._handleHolder(partition, holder);
      },
    });
  }

  private async _readOwner(partition: number): Promise<boolean> {
    const found = await this._options.store.get(Lease.formatKey(formatLeaseName(partition)));
    if (found.isErr) return false;
    const holder = readHolder(found.value);
    this._handleHolder(partition, holder);
    if (holder === undefined) this._scheduleRead(partition);
    return true;
  }

  /** Hosts that stand by are told of the holder by their own tries to get the lease. */
  private _scheduleRead(partition: number): void {
    const owned = this._partitions[partition];
    if (!owned || this._isDisposed) return;
    owned.read?.dispose();
    owned.read = this._options.clock.schedule(OWNER_READ_MS, () => {
      if (this._options.board.partitions.get(partition)?.owner !== undefined) return;
      if (this._rankSelf(partition) === undefined) void this.refreshOwner(partition);
      else this._scheduleRead(partition);
    });
  }

  private async _startLog(partition: number): Promise<boolean> {
    const owned = this._partitions[partition];
    if (!owned || this._isDisposed) return false;
    this._scheduleHandover(partition);
    if (this.findLog(partition)) return true;
    this._closeLog(partition);
    const log = this._options.createLog(partition);
    owned.log = log;
    return (await log.open()).isOk;
  }

  private async _stopLog(partition: number, reason: StopReason): Promise<void> {
    this._partitions[partition]?.handover?.dispose();
    const log = this.findLog(partition);
    if (reason === 'lost' && log) return;
    await log?.drain();
    this._closeLog(partition);
  }

  private _closeLog(partition: number): void {
    const owned = this._partitions[partition];
    const log = owned?.log;
    if (!owned || !log) return;
    owned.log = undefined;
    log.dispose();
  }

  private _closeFenced(partition: number): void {
    this._closeLog(partition);
    this._partitions[partition]?.owner.release();
  }

  private _handleHolder(partition: number, holder: string | undefined): void {
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

  /** Hands a partition over once another host has been first in rank for a while. */
  private _scheduleHandover(partition: number): void {
    const { clock, handoverDelayMs } = this._options;
    const owned = this._partitions[partition];
    if (!owned) return;
    owned.handover?.dispose();
    const rank = this._rankSelf(partition);
    if (rank === 0) return;
    const earliest = owned.lastHandoverAt + HANDOVER_REPEAT_MS - clock.now();
    // A host that is marked as leaving has no rank and hands over without delay.
    const delay = rank === undefined ? 0 : Math.max(handoverDelayMs, earliest);
    owned.handover = clock.schedule(delay, () => {
      if (this._rankSelf(partition) === 0) return;
      owned.lastHandoverAt = clock.now();
      owned.owner.release();
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
