import type { Result } from 'true-myth';
import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IBillCopy, IHeldBillEntry, IHostEntry } from '../blackboard/Types.js';
import { Emitter } from '../Event.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';
import type { ChooseCopyHolders } from './CopyHolders.js';
import type { PeerError } from './Peers.js';
import type { IJournal, JournalEntry } from './Types.js';

/** A bill as it is copied to a peer. */
export interface IBillToHold {
  id: string;
  key: string;
  entries: readonly JournalEntry[];
}

/** Asks a peer to keep copies; resolves with the ids that it keeps. */
export type SendHold = (
  peer: string,
  bills: readonly IBillToHold[],
) => Promise<Result<readonly string[], PeerError>>;

/** Tells a peer that bills are in the journal and their copies can go. */
export type SendRelease = (peer: string, ids: readonly string[]) => Promise<Result<unknown, PeerError>>;

/** A bill of which too few copies in other availability zones were confirmed. */
export interface IBillShortage {
  id: string;
  confirmed: number;
}

/** Options of the bill custody controller. */
export interface IBillCustodyOptions {
  board: Blackboard;
  clock: IClock;
  journal: IJournal;
  host: string;
  zone: string;
  chooseCopyHolders: ChooseCopyHolders;
  sendHold: SendHold;
  sendRelease: SendRelease;
  /** Copies in other availability zones. Default 2. */
  copies?: number;
  /** Longest time that an answer waits for its copies. Default 2000. */
  copyTimeoutMs?: Millis;
  /** Time between tries to append. Default 1000. */
  sweepIntervalMs?: Millis;
  /** A copy of this age is appended even if its origin seems alive. Default 30,000. */
  copyAppendAfterMs?: Millis;
  /** Bytes of copies kept for peers; more are not confirmed. Default 67,108,864. */
  maxCopyBytes?: number;
}

/** Appends in flight at once when the store is back; keeps a long backlog from delaying new appends. */
const APPEND_CONCURRENCY = 32;

/**
 * Keeps bills safe while the journal cannot take them. The serving host copies each bill to peers in
 * other availability zones before the answer's last part leaves, and appends it when the store is
 * back. A peer appends its copy when the serving host is gone. Every append may be repeated: the
 * journal counts a key once.
 */
export class BillCustodyController extends Disposable {
  private readonly _options: Required<IBillCustodyOptions>;
  private readonly _shortageEmitter = this._register(new Emitter<IBillShortage>());
  private readonly _releases = new Map<string, string[]>();
  private _timer: IDisposable | undefined;
  private _sweeping: Promise<void> | undefined;
  private _copyBytes = 0;
  private _shortageCount = 0;

  /** Fires when an answer leaves with fewer confirmed copies than asked for. */
  public readonly onShortage = this._shortageEmitter.event;

  constructor(options: IBillCustodyOptions) {
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

  /** Number of answers that left with too few copies. */
  public get shortageCount(): number {
    return this._shortageCount;
  }

  /** Holds a bill; resolves when the answer may leave. */
  public async holdBill(key: string, entries: readonly JournalEntry[]): Promise<void> {
    const { board, clock, host } = this._options;
    const id = `${host}/${key}/${findRequest(entries)}`;
    const kept = entries.map(setLongRetention);
    const common = { id, key, entries: kept, origin: host, copies: [], heldAt: clock.now() };
    board.heldBills.set(id, { ...common, role: 'origin', phase: 'copying' });
    await this._limitTime(this._copyBill(id));
    const confirmed = this._countRemote(board.heldBills.get(id)?.copies ?? []);
    board.heldBills.update(id, { phase: 'held' });
    if (confirmed < this._options.copies) {
      this._shortageCount += 1;
      this._shortageEmitter.fire({ id, confirmed });
    }
    this._scheduleSweep();
  }

  /** Keeps copies for a peer; returns the ids that this host keeps. */
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

  /** Drops copies whose bills are in the journal. */
  public dropCopies(ids: readonly string[]): void {
    for (const id of ids) if (this._options.board.heldBills.get(id)?.role === 'copy') this._dropBill(id);
  }

  /** Tries once more to append what is held; resolves with the number of bills that stay with peers. */
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
    // One bill shows whether the store is back; in an outage the others are not tried.
    const [probe, ...others] = due;
    if (probe && (await this._appendBill(probe))) {
      while (others.length > 0 && !this._isDisposed) {
        const batch = others.splice(0, APPEND_CONCURRENCY);
        const results = await Promise.all(batch.map((bill) => this._appendBill(bill)));
        if (results.includes(false)) break;
      }
    }
    await this._sendReleases();
    await this._replaceCopies();
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
      this._releases.set(host, [...(this._releases.get(host) ?? []), bill.id]);
    }
    this._dropBill(bill.id);
    return true;
  }

  private async _sendReleases(): Promise<void> {
    const releases = [...this._releases];
    this._releases.clear();
    // A lost release costs one repeated append by the peer.
    await Promise.all(releases.map(([peer, ids]) => this._options.sendRelease(peer, ids)));
  }

  /** Copies bills again whose copies were on hosts that left or restarted. */
  private async _replaceCopies(): Promise<void> {
    const short = [...this._options.board.heldBills.list()].filter(
      (bill) =>
        bill.role === 'origin' &&
        bill.phase === 'held' &&
        this._countRemote(bill.copies) < this._options.copies,
    );
    await Promise.all(short.slice(0, APPEND_CONCURRENCY).map((bill) => this._copyBill(bill.id)));
  }

  /** Asks peers, best first and as many at once as copies are missing, until enough have confirmed. */
  private async _copyBill(id: string): Promise<void> {
    const { board, chooseCopyHolders, copies, host, zone } = this._options;
    const bill = board.heldBills.get(id);
    if (!bill || this._isDisposed) return;
    const holders = new Set(bill.copies.filter((copy) => this._isValid(copy)).map((copy) => copy.host));
    const candidates = [...chooseCopyHolders({ hosts: board.hosts.list(), host, zone, holders })];
    for (;;) {
      const missing = copies - this._countRemote(board.heldBills.get(id)?.copies ?? []);
      const asked = candidates.splice(0, Math.max(0, missing));
      if (asked.length === 0) return;
      await Promise.all(asked.map((peer) => this._sendCopy(bill, peer)));
    }
  }

  private async _sendCopy(bill: Readonly<IHeldBillEntry>, peer: Readonly<IHostEntry>): Promise<void> {
    const { board, sendHold } = this._options;
    const { id, key, entries } = bill;
    const kept = await sendHold(peer.id, [{ id, key, entries }]);
    if (!kept.isOk || !kept.value.includes(id)) return;
    const current = board.heldBills.get(id);
    const others = current?.copies.filter((copy) => copy.host !== peer.id && this._isValid(copy)) ?? [];
    const copies = [...others, { host: peer.id, incarnation: peer.incarnation }];
    // The bill may be in the journal by now; then the late copy is released with the next sweep.
    if (!board.heldBills.update(id, { copies })) {
      this._releases.set(peer.id, [...(this._releases.get(peer.id) ?? []), id]);
    }
  }

  /** Counts the copies that survive the loss of this availability zone. */
  private _countRemote(copies: readonly IBillCopy[]): number {
    const { board, zone } = this._options;
    return copies.filter((copy) => this._isValid(copy) && board.hosts.get(copy.host)?.zone !== zone).length;
  }

  private _isValid(copy: IBillCopy): boolean {
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
 * The store may be out of reach for longer than the short retention; a record that was dropped by
 * then would let a second append of the same bill count.
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
