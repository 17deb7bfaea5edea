/**
 * Public interface of the coordination library, which can be used without the router. The caller passes in a
 * store (`IStore`: any key-value store with compare-and-swap, expiry and watches) and a clock (`IClock`). The
 * library starts no threads and opens no connections. Expected errors are returned as true-myth `Result`
 * values; each error has a `kind`.
 *
 * - `Lease` gives a name to one holder at a time, with a fencing token. `FencedOwner` uses one to keep a job
 *   with one owner.
 * - `claimKey`, `releaseClaim` and `finishClaim` make sure that an operation runs at most once.
 * - `PartitionLog`, `PartitionOwnerController` and `createRoutedJournal` form the journal that stores claims,
 *   bills and session pins. `HeldBillController` keeps bills safe during an outage of the store.
 * - `listBills` and `exportBills` read bills from the store, and `trimBills` reduces old ones to totals. They
 *   need no running host.
 * - `ConfigApplier` applies configurations and never returns to an older revision. `applyEdit` changes one.
 * - `runDrain` runs the steps of a graceful shutdown.
 *
 * See `examples/RunOnce.ts` for a complete program.
 */
export {
  Blackboard,
  type HandleControllerError,
  type IBlackboardOptions,
} from './common/blackboard/Blackboard.js';
export { Panel, type IPanelChange } from './common/blackboard/Panel.js';
export type { HostState, IHostEntry, IPartitionEntry, PartitionPhase } from './common/blackboard/Types.js';
export { applyEdit, readRecord, type IConfigEditorOptions } from './common/config/ConfigEditor.js';
export {
  ConfigApplier,
  type IConfigCodec,
  type IConfigApplierOptions,
} from './common/config/ConfigApplier.js';
export type { IConfigIndex, IConfigRecord } from './common/config/Types.js';
export {
  HeldBillController,
  type IHeldBillOptions,
  type IBillShortage,
  type IBillToHold,
  type SendBillCopies,
  type SendCopyRelease,
} from './common/coordination/HeldBillController.js';
export {
  exportBills,
  listBills,
  trimBills,
  type BillExportError,
  type IBillExportOptions,
  type IBillList,
  type IExportedBill,
} from './common/coordination/BillExport.js';
export {
  claimKey,
  finishClaim,
  releaseClaim,
  type ClaimOutcome,
  type IClaim,
} from './common/coordination/Claims.js';
export { createChooseCopyHolders, type ChooseCopyHolders } from './common/coordination/CopyHolders.js';
export { runDrain, type IDrainResult, type IDrainStep } from './common/coordination/Drain.js';
export {
  FencedOwner,
  type IFencedOwnerOptions,
  type OwnerPhase,
  type StopReason,
} from './common/coordination/FencedOwner.js';
export { isBeyondRetention, readKeyTime } from './common/coordination/IdempotencyKeys.js';
export { Lease, readLeaseHolder, type ILeaseOptions, type LeaseError } from './common/coordination/Lease.js';
export { assignPartition, combineTotals, createLocalJournal } from './common/coordination/LocalJournal.js';
export { PartitionLog, type IPartitionLogOptions } from './common/coordination/PartitionLog.js';
export {
  PartitionOwnerController,
  type IPartitionOwnerOptions,
} from './common/coordination/PartitionOwnerController.js';
export type {
  PeerError,
  PeerHandler,
  PeerHandlers,
  PeerMethod,
  SendToPeer,
} from './common/coordination/Peers.js';
export { RendezvousRanking, type HashTexts } from './common/coordination/Rendezvous.js';
export {
  createRoutedJournal,
  type IRoutedJournalOptions,
  type SendAppend,
  type SendLookup,
} from './common/coordination/RoutedJournal.js';
export type {
  AppendOutcome,
  ClaimState,
  IBill,
  IBillTotal,
  IJournal,
  IJournalRecord,
  IPutOptions,
  IStore,
  IStoredAnswer,
  IStoreValue,
  JournalEntry,
  JournalError,
  Retention,
  StoreError,
} from './common/coordination/Types.js';
export { Emitter, type Event } from './common/Event.js';
export { Disposable, disposeAll, toDisposable, type IDisposable } from './common/Lifecycle.js';
export type { IClock, Millis, RandomSource } from './common/Types.js';
