import {
  createAppendHandler,
  createHoldHandler,
  createLookupHandler,
  createSendAppend,
  createSendHold,
  createSendLookup,
  createSendRelease,
} from '../adapters/JournalMessages.js';
import type { WriteLog } from '../adapters/Logs.js';
import { createUniqueId, hashTexts } from '../adapters/Random.js';
import { systemClock } from '../adapters/SystemClock.js';
import type { Blackboard } from '../common/blackboard/Blackboard.js';
import { BillCustodyController } from '../common/coordination/BillCustody.js';
import { createChooseCopyHolders } from '../common/coordination/CopyHolders.js';
import { runDrain } from '../common/coordination/Drain.js';
import { combineTotals } from '../common/coordination/LocalJournal.js';
import { PartitionLog } from '../common/coordination/PartitionLog.js';
import { PartitionOwnerController } from '../common/coordination/PartitionOwnerController.js';
import type { PeerHandlers, SendToPeer } from '../common/coordination/Peers.js';
import { createRoutedJournal } from '../common/coordination/RoutedJournal.js';
import type { IBillTotal, IJournal, IStore, JournalEntry } from '../common/coordination/Types.js';
import { Disposable } from '../common/Lifecycle.js';
import type { HostSettings } from './Settings.js';

/** Options of the journal's wiring. */
export interface IJournalWiringOptions {
  settings: HostSettings;
  board: Blackboard;
  store: IStore;
  send: SendToPeer;
  log: WriteLog;
}

const HOUR_MS = 3_600_000;
/** A store that is down must not hold up a host's replacement for long; peers have its held bills. */
const DRAIN_STEP_MS = 8000;

/** The journal of an entry host: partition ownership, routing to owners and custody of bills. */
export class JournalWiring extends Disposable {
  public readonly journal: IJournal;
  public readonly handlers: PeerHandlers;
  private readonly _owner: PartitionOwnerController;
  private readonly _custody: BillCustodyController;
  private _wasReady = false;
  private _hasStartedWithoutStore = false;

  constructor(private readonly _options: IJournalWiringOptions) {
    super();
    this._owner = this._register(this._createOwner());
    this.journal = this._createJournal();
    this._custody = this._register(this._createCustody());
    const findLog = (partition: number): PartitionLog | undefined => this._owner.findLog(partition);
    this.handlers = {
      'journal.append': createAppendHandler(findLog),
      'journal.lookup': createLookupHandler(findLog),
      'bill.hold': createHoldHandler(this._custody),
    };
  }

  /** Holds a bill that the journal could not take; see `BillCustodyController`. */
  public readonly holdBill = (key: string, entries: readonly JournalEntry[]): Promise<void> =>
    this._custody.holdBill(key, entries);

  /** Starts to compete for partitions. */
  public async start(): Promise<void> {
    this._hasStartedWithoutStore = !(await this._owner.run());
  }

  /**
   * Tells whether every partition has had a known owner; a takeover does not end it. A host that starts
   * without the store is ready too: it serves idempotent requests, and peers keep copies of its bills.
   */
  public isReady(): boolean {
    const { board, settings } = this._options;
    this._wasReady ||= this._hasStartedWithoutStore;
    this._wasReady ||= Array.from({ length: settings.journal.partitions }).every(
      (_, partition) => board.partitions.get(partition)?.owner !== undefined,
    );
    return this._wasReady;
  }

  /** Appends held bills where the store allows it, commits and hands every partition over. */
  public async drain(): Promise<void> {
    const results = await runDrain(systemClock, [
      { name: 'append held bills', run: () => this._drainCustody(), timeoutMs: DRAIN_STEP_MS },
      { name: 'hand partitions over', run: () => this._owner.drain(), timeoutMs: DRAIN_STEP_MS },
    ]);
    for (const { name, outcome } of results) {
      if (outcome !== 'finished')
        this._options.log('warn', 'A step of the drain was cut short', { name, outcome });
    }
  }

  private async _drainCustody(): Promise<void> {
    const remaining = await this._custody.drain();
    if (remaining > 0) this._options.log('warn', 'Held bills stay with peers', { remaining });
  }

  /** Adds up the bills of the partitions that this host owns. */
  public listTotals(): IBillTotal[] {
    const logs = Array.from({ length: this._options.settings.journal.partitions }, (_, partition) =>
      this._owner.findLog(partition),
    );
    return combineTotals(logs.flatMap((log) => log?.listTotals() ?? []));
  }

  private _createOwner(): PartitionOwnerController {
    const { board, settings, store } = this._options;
    const common = { board, store, clock: systemClock, host: settings.host.id, createId: createUniqueId };
    return new PartitionOwnerController({
      ...common,
      partitions: settings.journal.partitions,
      hash: hashTexts,
      createLog: (partition) =>
        new PartitionLog({
          ...common,
          partition,
          readWallClock: Date.now,
          commitIntervalMs: settings.journal.commit_interval_ms,
          retentionMs: settings.journal.claim_retention_hours * HOUR_MS,
        }),
    });
  }

  private _createJournal(): IJournal {
    const { board, send, settings } = this._options;
    return createRoutedJournal({
      board,
      clock: systemClock,
      host: settings.host.id,
      partitions: settings.journal.partitions,
      findLog: (partition) => this._owner.findLog(partition),
      refreshOwner: (partition) => this._owner.refreshOwner(partition),
      sendAppend: createSendAppend(send),
      sendLookup: createSendLookup(send),
    });
  }

  private _createCustody(): BillCustodyController {
    const { board, log, send, settings } = this._options;
    const custody = new BillCustodyController({
      board,
      clock: systemClock,
      journal: this.journal,
      host: settings.host.id,
      zone: settings.host.zone,
      chooseCopyHolders: createChooseCopyHolders(Math.random),
      sendHold: createSendHold(send),
      sendRelease: createSendRelease(send),
    });
    custody.onShortage(({ confirmed }) => {
      log('warn', 'A held bill has too few copies', { confirmed, shortages: custody.shortageCount });
    });
    return custody;
  }
}
