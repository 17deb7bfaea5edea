import {
  createAppendHandler,
  createBillCopyHandler,
  createLookupHandler,
  createSendAppend,
  createSendBillCopies,
  createSendLookup,
  createSendCopyRelease,
} from '../adapters/JournalMessages.js';
import type { WriteLog } from '../adapters/Logs.js';
import { createUniqueId, hashTexts } from '../adapters/Random.js';
import { systemClock } from '../adapters/SystemClock.js';
import type { Blackboard } from '../common/blackboard/Blackboard.js';
import { HeldBillController } from '../common/coordination/HeldBillController.js';
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

/** Options of the journal's wiring on an entry host. */
export interface IJournalWiringOptions {
  settings: HostSettings;
  board: Blackboard;
  store: IStore;
  sendToPeer: SendToPeer;
  log: WriteLog;
}

const HOUR_MS = 3_600_000;
/**
 * Time limit of each shutdown step. If the store is down, the steps cannot finish, and waiting longer would
 * only delay the replacement of the host. Peers keep copies of its held bills.
 */
const DRAIN_STEP_TIMEOUT_MS = 8000;

/**
 * Wires the journal of an entry host: ownership of partitions, routing of calls to the hosts that own them,
 * and the bills that are held until the journal can take them.
 */
export class JournalWiring extends Disposable {
  public readonly journal: IJournal;
  public readonly handlers: PeerHandlers;
  private readonly _partitionOwner: PartitionOwnerController;
  private readonly _heldBills: HeldBillController;
  private _hasBeenReady = false;
  private _hasStartedWithoutStore = false;

  constructor(private readonly _options: IJournalWiringOptions) {
    super();
    this._partitionOwner = this._register(this._createPartitionOwner());
    this.journal = this._createJournal();
    this._heldBills = this._register(this._createHeldBillController());
    const findLog = (partition: number): PartitionLog | undefined => this._partitionOwner.findLog(partition);
    this.handlers = {
      'journal.append': createAppendHandler(findLog),
      'journal.lookup': createLookupHandler(findLog),
      'bill.hold': createBillCopyHandler(this._heldBills),
    };
  }

  /** Holds a bill that could not be appended to the journal; see `HeldBillController`. */
  public readonly holdBill = (key: string, entries: readonly JournalEntry[]): Promise<void> =>
    this._heldBills.holdBill(key, entries);

  /** Starts to compete with the other hosts for the ownership of partitions. */
  public async start(): Promise<void> {
    this._hasStartedWithoutStore = !(await this._partitionOwner.run());
  }

  /**
   * Tells whether the journal is ready. It becomes ready once all partitions have a known owner and then
   * stays ready, also while another host takes over a partition. A host that could not reach the store at its
   * start is ready at once: it serves idempotent requests, and peers keep copies of its bills.
   */
  public isReady(): boolean {
    const { board, settings } = this._options;
    this._hasBeenReady ||= this._hasStartedWithoutStore;
    this._hasBeenReady ||= Array.from({ length: settings.journal.partitions }).every(
      (_, partition) => board.partitions.get(partition)?.owner !== undefined,
    );
    return this._hasBeenReady;
  }

  /**
   * Appends the held bills if the store is reachable, then commits and hands over the partitions of this
   * host.
   */
  public async drain(): Promise<void> {
    const results = await runDrain(systemClock, [
      { name: 'append held bills', run: () => this._drainHeldBills(), timeoutMs: DRAIN_STEP_TIMEOUT_MS },
      {
        name: 'hand partitions over',
        run: () => this._partitionOwner.drain(),
        timeoutMs: DRAIN_STEP_TIMEOUT_MS,
      },
    ]);
    for (const { name, outcome } of results) {
      if (outcome !== 'finished')
        this._options.log('warn', 'A shutdown step of the journal failed or timed out', { name, outcome });
    }
  }

  private async _drainHeldBills(): Promise<void> {
    const remaining = await this._heldBills.drain();
    if (remaining > 0)
      this._options.log('warn', 'Held bills were not appended before shutdown; only peers still hold them', {
        remaining,
      });
  }

  /** Lists the totals of the bills in the partitions that this host owns. */
  public listBillTotals(): IBillTotal[] {
    const logs = Array.from({ length: this._options.settings.journal.partitions }, (_, partition) =>
      this._partitionOwner.findLog(partition),
    );
    return combineTotals(logs.flatMap((log) => log?.listTotals() ?? []));
  }

  private _createPartitionOwner(): PartitionOwnerController {
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
    const { board, sendToPeer, settings } = this._options;
    return createRoutedJournal({
      board,
      clock: systemClock,
      host: settings.host.id,
      partitions: settings.journal.partitions,
      findLog: (partition) => this._partitionOwner.findLog(partition),
      refreshOwner: (partition) => this._partitionOwner.refreshOwner(partition),
      sendAppend: createSendAppend(sendToPeer),
      sendLookup: createSendLookup(sendToPeer),
    });
  }

  private _createHeldBillController(): HeldBillController {
    const { board, log, sendToPeer, settings } = this._options;
    const heldBills = new HeldBillController({
      board,
      clock: systemClock,
      journal: this.journal,
      host: settings.host.id,
      zone: settings.host.zone,
      chooseCopyHolders: createChooseCopyHolders(Math.random),
      sendHold: createSendBillCopies(sendToPeer),
      sendRelease: createSendCopyRelease(sendToPeer),
    });
    heldBills.onShortage(({ confirmed }) => {
      log('warn', 'A held bill has too few copies', { confirmed, shortages: heldBills.shortageCount });
    });
    return heldBills;
  }
}
