/**
 * Public entry file of the coordination library. It works without the router, over any key-value
 * store with compare-and-swap, expiry and watches that is given as an `IStore`, and with any clock
 * given as an `IClock`. It starts no threads and opens no connections by itself. Errors are values of
 * true-myth `Result` with a `kind`.
 *
 * - `Lease`, `FencedOwner`: one holder of a name, with a fencing token; one owner of a job.
 * - `claimKey`, `releaseClaim`, `finishClaim`: something runs at most once.
 * - `PartitionLog`, `PartitionOwnerController`, `createRoutedJournal`: the journal below claims, bills
 *   and pins; `BillCustodyController` keeps bills through an outage of the store.
 * - `listBills`, `exportBills`, `trimBills`: bills from the store, without a host.
 * - `ConfigFeed`, `applyEdit`: a configuration that only moves forward.
 * - `runDrain`: a graceful stop in steps.
 *
 * See `examples/RunOnce.ts` for a whole program.
 */
export {
  Blackboard,
  type HandleControllerError,
  type IBlackboardOptions,
} from './common/blackboard/Blackboard.js';
export { Panel, type IPanelChange } from './common/blackboard/Panel.js';
export type { HostState, IHostEntry, IPartitionEntry, PartitionPhase } from './common/blackboard/Types.js';
export { applyEdit, readRecord, type IConfigEditorOptions } from './common/config/ConfigEditor.js';
export { ConfigFeed, type IConfigCodec, type IConfigFeedOptions } from './common/config/ConfigFeed.js';
export type { IConfigIndex, IConfigRecord } from './common/config/Types.js';
export {
  BillCustodyController,
  type IBillCustodyOptions,
  type IBillShortage,
  type IBillToHold,
  type SendHold,
  type SendRelease,
} from './common/coordination/BillCustody.js';
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
export { Lease, readHolder, type ILeaseOptions, type LeaseError } from './common/coordination/Lease.js';
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
