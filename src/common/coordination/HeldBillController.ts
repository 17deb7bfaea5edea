import type { Result } from 'true-myth';
import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IBillCopy, IHeldBillEntry, IHostEntry } from '../blackboard/Types.js';
import { Emitter } from '../Event.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';
import type { ChooseCopyHolders } from './CopyHolders.js';
import type { PeerError } from './Peers.js';
import type { IJournal, JournalEntry } from './Types.js';

/** A bill in the form in which it is copied to a peer. */
export interface IBillToHold {
  id: string;
  key: string;
  entries: readonly JournalEntry[];
}

/** Asks a peer to keep copies of bills; resolves with the ids of the copies that it keeps. */
export type SendBillCopies = (
  peer: string,
  bills: readonly IBillToHold[],
) => Promise<Result<readonly string[], PeerError>>;

/** Tells a peer that bills are in the journal, so that it can delete its copies. */
export type SendCopyRelease = (peer: string, ids: readonly string[]) => Promise<Result<unknown, PeerError>>;

/** A bill for which too few copies in other availability zones were confirmed. */
export interface IBillShortage {
  id: string;
  confirmed: number;
}

/** Options of the held bill controller. */
export interface IHeldBillOptions {
  board: Blackboard;
  clock: IClock;
  journal: IJournal;
  host: string;
  zone: string;
  chooseCopyHolders: ChooseCopyHolders;
  sendHold: SendBillCopies;
  sendRelease: SendCopyRelease;
  /** Number of copies in other availability zones. Default 2. */
  copies?: number;
  /** Longest time that an answer waits for the copies of its bill. Default 2000. */
  copyTimeoutMs?: Millis;
  /** Time between two attempts to append the held bills to the journal. Default 1000. */
  sweepIntervalMs?: Millis;
  /** A copy of this age is appended even if the host that served the request seems alive. Default 30,000. */
  copyAppendAfterMs?: Millis;
  /** Largest size of the copies kept for peers; further copies are not accepted. Default 67,108,864. */
  maxCopyBytes?: number;
}

/**
 * Number of concurrent appends when the store is back. The limit keeps a long backlog from delaying new ones.
 */
const APPEND_CONCURRENCY = 32;

/**
 * Keeps bills on several hosts while the journal cannot be written. The host that served a request copies
 * its bill to peers in other availability zones before it sends the last part of the answer, and appends the
 * bill when the store is back. A peer appends its copy when that host is gone. An append may be repeated,
 * because the journal counts a key once.
 */
export class HeldBillController extends Disposable {
  private readonly _options: Required<IHeldBillOptions>;
  private readonly _shortageEmitter = this._register(new Emitter<IBillShortage>());
  private readonly _pendingReleases = new Map<string, string[]>();
  private _timer: IDisposable | undefined;
  private _sweeping: Promise<void> | undefined;
  private _copyBytes = 0;
  private _shortageCount = 0;

  /** Fires when an answer is sent although fewer copies of its bill were confirmed than required. */
  public readonly onShortage = this._shortageEmitter.event;

  constructor(options: IHeldBillOptions) {
    super();
    this._options = {
      copies: 2,
      copyTimeoutMs: 2000,
      sweepIntervalMs: 1000,
      copyAppendAfterMs: 30_000,
      maxCopyBytes: 67_108_864,
      ...options,
    };
  }

  /** Number of answers that were sent with too few confirmed copies of their bill. */
  public get shortageCount(): number {
    return this._shortageCount;
  }

  /** Holds a bill until the journal can be written; resolves when the answer may be sent. */
  public async holdBill(key: string, entries: readonly JournalEntry[]): Promise<void> {
    const { board, clock, host } = this._options;
    const id = `${host}/${key}/${findRequest(entries)}`;
    const longRetained = entries.map(setLongRetention);
    const common = { id, key, entries: longRetained, origin: host, copies: [], heldAt: clock.now() };
    board.heldBills.set(id, { ...common, role: 'origin', phase: 'copying' });
    await this._limitTime(this._copyBill(id));
    const confirmed = this._countRemoteCopies(board.heldBills.get(id)?.copies ?? []);
    board.heldBills.update(id, { phase: 'held' });
    if (confirmed < this._options.copies) {
      this._shortageCount += 1;
      this._shortageEmitter.fire({ id, confirmed });
    }
    this._scheduleSweep();
  }

  /** Keeps copies of bills for a peer; returns the ids of those that this host keeps. */
  public acceptCopies(origin: string, bills: readonly IBillToHold[]): string[] {
    const { board, clock, maxCopyBytes } = this._options;
    const accepted: string[] = [];
    for (const { id, key, entries } of bills) {
      const bytes = JSON.stringify(entries).length;
      const isKnown = board.heldBills.has(id);
      if (!isKnown && (this._isDisposed || this._copyBytes + bytes > maxCopyBytes)) continue;
      if (!isKnown) {
        this._copyBytes += bytes;
        const heldAt = clock.now();
        board.heldBills.set(id, {
          id,
          key,
          entries,
          origin,
          role: 'copy',
          phase: 'held',
          copies: [],
          heldAt,
        });
      }
      accepted.push(id);
    }
    if (accepted.length > 0) this._scheduleSweep();
    return accepted;
  }

  /** Deletes copies whose bills are in the journal. */
  public dropCopies(ids: readonly string[]): void {
    for (const id of ids) if (this._options.board.heldBills.get(id)?.role === 'copy') this._dropBill(id);
  }

  /**
   * Tries once more to append the held bills. Resolves with the number of this host's bills that are still
   * not in the journal; peers append them from their copies.
   */
  public async drain(): Promise<number> {
    this._timer?.dispose();
    await this._sweeping;
    await this._sweep();
    return [...this._options.board.heldBills.list()].filter((bill) => bill.role === 'origin').length;
  }

  public override dispose(): void {
    super.dispose();
    this._timer?.dispose();
  }

  private _scheduleSweep(): void {
    if (this._timer || this._sweeping || this._isDisposed || this._options.board.heldBills.size === 0) return;
    this._timer = this._options.clock.schedule(this._options.sweepIntervalMs, () => {
      this._timer = undefined;
      this._sweeping = this._sweep().finally(() => {
        this._sweeping = undefined;
        this._scheduleSweep();
      });
    });
  }

  private async _sweep(): Promise<void> {
    const due = [...this._options.board.heldBills.list()].filter((bill) => this._isDue(bill));
    // The append of one bill shows whether the store is back; during an outage the others are not tried.
    const [probe, ...others] = due;
    if (probe && (await this._appendBill(probe))) {
      while (others.length > 0 && !this._isDisposed) {
        const batch = others.splice(0, APPEND_CONCURRENCY);
        const results = await Promise.all(batch.map((bill) => this._appendBill(bill)));
        if (results.includes(false)) break;
      }
    }
    await this._sendReleases();
    await this._restoreCopies();
  }

  private _isDue(bill: Readonly<IHeldBillEntry>): boolean {
    if (bill.phase !== 'held') return false;
    if (bill.role === 'origin') return true;
    const { board, clock, copyAppendAfterMs } = this._options;
    const state = board.hosts.get(bill.origin)?.state ?? 'gone';
    return state === 'gone' || clock.now() - bill.heldAt >= copyAppendAfterMs;
  }

  private async _appendBill(bill: Readonly<IHeldBillEntry>): Promise<boolean> {
    const result = await this._options.journal.append(bill.key, bill.entries);
    if (result.isErr) return false;
    for (const { host } of this._options.board.heldBills.get(bill.id)?.copies ?? []) {
      this._pendingReleases.set(host, [...(this._pendingReleases.get(host) ?? []), bill.id]);
    }
    this._dropBill(bill.id);
    return true;
  }

  private async _sendReleases(): Promise<void> {
    const releases = [...this._pendingReleases];
    this._pendingReleases.clear();
    // If a release is lost, the peer only repeats one append.
    await Promise.all(releases.map(([peer, ids]) => this._options.sendRelease(peer, ids)));
  }

  /** Makes new copies of bills when hosts that had copies have left or restarted. */
  private async _restoreCopies(): Promise<void> {
    const lackingCopies = [...this._options.board.heldBills.list()].filter(
      (bill) =>
        bill.role === 'origin' &&
        bill.phase === 'held' &&
        this._countRemoteCopies(bill.copies) < this._options.copies,
    );
    await Promise.all(lackingCopies.slice(0, APPEND_CONCURRENCY).map((bill) => this._copyBill(bill.id)));
  }

  /** Asks peers in order, as many at a time as copies are missing, until enough copies are confirmed. */
  private async _copyBill(id: string): Promise<void> {
    const { board, chooseCopyHolders, copies, host, zone } = this._options;
    const bill = board.heldBills.get(id);
    if (!bill || this._isDisposed) return;
    const holders = new Set(
      bill.copies.filter((copy) => this._isCopyAvailable(copy)).map((copy) => copy.host),
    );
    const candidates = [...chooseCopyHolders({ hosts: board.hosts.list(), host, zone, holders })];
    for (;;) {
      const missing = copies - this._countRemoteCopies(board.heldBills.get(id)?.copies ?? []);
      const asked = candidates.splice(0, Math.max(0, missing));
      if (asked.length === 0) return;
      await Promise.all(asked.map((peer) => this._sendCopy(bill, peer)));
    }
  }

  private async _sendCopy(bill: Readonly<IHeldBillEntry>, peer: Readonly<IHostEntry>): Promise<void> {
    const { board, sendHold } = this._options;
    const { id, key, entries } = bill;
    const reply = await sendHold(peer.id, [{ id, key, entries }]);
    if (!reply.isOk || !reply.value.includes(id)) return;
    const current = board.heldBills.get(id);
    const others =
      current?.copies.filter((copy) => copy.host !== peer.id && this._isCopyAvailable(copy)) ?? [];
    const copies = [...others, { host: peer.id, incarnation: peer.incarnation }];
    // If the bill is in the journal by now, the late copy is released with the next sweep.
    if (!board.heldBills.update(id, { copies })) {
      this._pendingReleases.set(peer.id, [...(this._pendingReleases.get(peer.id) ?? []), id]);
    }
  }

  /** Counts the copies that survive the loss of this availability zone. */
  private _countRemoteCopies(copies: readonly IBillCopy[]): number {
    const { board, zone } = this._options;
    return copies.filter((copy) => this._isCopyAvailable(copy) && board.hosts.get(copy.host)?.zone !== zone)
      .length;
  }

  private _isCopyAvailable(copy: IBillCopy): boolean {
    const peer = this._options.board.hosts.get(copy.host);
    const isRunning = peer?.state === 'alive' || peer?.state === 'suspect';
    return isRunning && peer.incarnation === copy.incarnation;
  }

  private _dropBill(id: string): void {
    const { board } = this._options;
    const bill = board.heldBills.get(id);
    if (bill?.role === 'copy') this._copyBytes -= JSON.stringify(bill.entries).length;
    board.heldBills.delete(id);
  }

  private _limitTime(work: Promise<void>): Promise<void> {
    return new Promise((resolve) => {
      const timer = this._options.clock.schedule(this._options.copyTimeoutMs, resolve);
      void work.then(() => {
        timer.dispose();
        resolve();
      });
    });
  }
}

/**
 * Sets the long retention for a bill. The store may be unreachable for longer than the short retention. If
 * the record had expired by then, a second append of the same bill would be counted again.
 */
function setLongRetention(entry: JournalEntry): JournalEntry {
  return entry.kind === 'bill' ? { ...entry, retention: 'long' } : entry;
}

function findRequest(entries: readonly JournalEntry[]): string {
  for (const entry of entries) {
    if (entry.kind === 'bill') return entry.bill.request;
    if ('request' in entry) return entry.request;
  }
  return '';
}
