import type { Result } from 'true-myth';
import type { StoreError } from '../coordination/Types.js';
import type { IRoutingTable } from '../routes/Types.js';
import type { Millis } from '../Types.js';

/** An endpoint as it announces itself in the store. */
export interface IEndpointAnnouncement {
  id: string;
  service: string;
  address: string;
  zone: string;
  /** Software version of the process. */
  release: string;
  slots: number;
  isLeaving: boolean;
  models: readonly string[];
  /** Grows with each start under the same id. */
  startedAt: number;
}

/** The operator's order to move a service to another release. */
export interface IRolloutOrder {
  service: string;
  release: string;
  durationMs: Millis;
}

/** Stage of a rollout. In the first half, only new sessions of a fixed share use the new release. */
export type RolloutStage = 'canary' | 'full' | 'succeeded' | 'rolled-back';

/** The shared record of a rollout's progress. */
export interface IRolloutRecord {
  service: string;
  release: string;
  stage: RolloutStage;
  /** Store revision of the order that the record belongs to. */
  order: number;
}

/** Answers of one release, counted. */
export interface IAnswerCounts {
  good: number;
  bad: number;
}

/** What one host has seen of both releases of a rollout. */
export interface IRolloutEvidence {
  service: string;
  host: string;
  order: number;
  oldCounts: IAnswerCounts;
  newCounts: IAnswerCounts;
}

/** A request that was in flight at the crash of an endpoint. */
export interface ICrashReport {
  fingerprint: string;
  /** Id of the endpoint and its start, so that hosts count one crash once. */
  crash: string;
}

/** A fact that the store holds. `unreadable` values change nothing. */
export type FleetFact =
  | { kind: 'routing-table'; table: IRoutingTable }
  | { kind: 'endpoint'; endpoint: IEndpointAnnouncement }
  | { kind: 'rollout-order'; order: IRolloutOrder }
  | { kind: 'rollout-record'; record: IRolloutRecord }
  | { kind: 'rollout-evidence'; evidence: IRolloutEvidence }
  | { kind: 'crash-reports'; reports: readonly ICrashReport[] }
  | { kind: 'unreadable'; reason: string };

/** A fact with its place in the store. */
export interface IFactEntry {
  key: string;
  /** Store revision of the last change. */
  revision: number;
  fact: FleetFact;
}

/** A change of one fact. */
export type FactChange = ({ kind: 'put' } & IFactEntry) | { kind: 'delete'; key: string; revision: number };

/** All facts at a revision. */
export interface IFactList {
  facts: readonly IFactEntry[];
  revision: number;
}

/** Changes since a revision, or that the store has forgotten them. */
export type FactChanges =
  { kind: 'changes'; changes: readonly FactChange[]; revision: number } | { kind: 'compacted' };

/** The store's facts, as functions. Every call counts against the store's rates. */
export interface IFactStore {
  listFacts: () => Promise<Result<IFactList, StoreError>>;
  /** Resolves at the first change after a revision, or with no change after `waitMs`. */
  watchFacts: (after: number, waitMs: Millis) => Promise<Result<FactChanges, StoreError>>;
  /** Reads the rollout record of a service; `undefined` where there is none. */
  readRecord: (service: string) => Promise<Result<IFactEntry | undefined, StoreError>>;
  /** Writes a rollout record if its key still has the expected revision; 0 when it must be absent. */
  writeRecord: (record: IRolloutRecord, expectedRevision: number) => Promise<Result<number, StoreError>>;
  /** Replaces the crash reports of a host. */
  writeCrashes: (host: string, reports: readonly ICrashReport[]) => Promise<Result<number, StoreError>>;
  writeEvidence: (evidence: IRolloutEvidence) => Promise<Result<number, StoreError>>;
}

/** State of this host's contact with the store. */
export interface IFeedEntry {
  state: 'connected' | 'lost';
  changedAt: Millis;
  revision: number;
  /** Times that the contact was lost so far. */
  losses: number;
  /** Error of the call that failed; absent while connected. */
  reason?: string;
}

/** A rollout as this host follows it. */
export interface IRolloutEntry {
  service: string;
  release: string;
  stage: RolloutStage | 'ordered';
  /** Stage that the record in the store has; a rollback holds here before it is recorded. */
  recordedStage: RolloutStage | undefined;
  /** Store revision of the order. */
  order: number;
  /** Store revision of the record; 0 where there is none yet. */
  recordRevision: number;
  durationMs: Millis;
  /** When this host saw the order first. */
  seenAt: Millis;
  /** When this host saw the stage first. */
  stageSeenAt: Millis;
}

/** Limits of a host that may change while it runs. */
export interface IHostLimits {
  /** Extra attempts allowed per request, over all hosts. */
  retryShare: number;
  /** Time after its last request in which a session keeps its release. */
  sessionMs: Millis;
  /** Largest share of a service's requests that a bad release may get. */
  exposureShare: number;
  /** Time that a stopped process has before it is killed. */
  stopMs: Millis;
  /** Time of undisturbed contact with the store after which bounds on time hold for a host. */
  contactMs: Millis;
  /** Time within which a change in the store takes effect. */
  applyMs: Millis;
}
