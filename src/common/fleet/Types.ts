import type { Result } from 'true-myth';
import type { StoreError } from '../coordination/Types.js';
import type { IRoutingTable } from '../routes/Types.js';
import type { Millis } from '../Types.js';

/** What an endpoint announces about itself in the store. */
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
  /** Start of the process. A later start under the same id has a greater value. */
  startedAt: number;
  /** How much longer the endpoint is slow after its start. */
  warmUpMs: Millis;
}

/** The operator's order to move a service to another release. */
export interface IRolloutOrder {
  service: string;
  release: string;
  /** Time within which the rollout has to be finished. */
  durationMs: Millis;
}

/**
 * Stage of a rollout. In `canary`, a small share of the new sessions uses the new release and every other
 * session keeps its release. In `full`, all sessions move to the new release. The other two are final.
 */
export type RolloutStage = 'canary' | 'full' | 'succeeded' | 'rolled-back';

/** Progress of a rollout, stored once for all hosts. */
export interface IRolloutRecord {
  service: string;
  release: string;
  stage: RolloutStage;
  /** Store revision of the order that the record belongs to. */
  order: number;
  /** Era of the store in which the order had that revision. Absent in records of older builds. */
  orderEra?: number | undefined;
  /**
   * Share of the sessions that use the new release in the stage `canary`. It is stored so that all hosts move
   * the same sessions, whatever endpoints each of them knows.
   */
  canaryShare: number;
}

/** Way in which the duration of an answer shows that its release is worse. */
export type LatencySymptom = 'late-start' | 'slow-pace';

/** Way in which an answer shows that its release is worse. */
export type Symptom = 'failure' | LatencySymptom;

/** Numbers of answers of one release on one route, judged by one symptom. */
export interface ISymptomCounts {
  symptom: Symptom;
  route: string;
  good: number;
  bad: number;
  /** Ids of up to two endpoints that gave bad answers. */
  badEndpoints: readonly string[];
}

/** Answers of the old and the new release that one host has counted during a rollout. */
export interface IRolloutEvidence {
  service: string;
  host: string;
  order: number;
  oldCounts: readonly ISymptomCounts[];
  newCounts: readonly ISymptomCounts[];
}

/** Distribution of a duration: pairs of a bucket and its number of samples. */
export interface IBaselineEntry {
  key: string;
  buckets: readonly (readonly [bucket: number, count: number])[];
}

/** What one host had measured of a service when a rollout began, or later in its stage `canary`. */
export interface IReleaseBaseline {
  service: string;
  host: string;
  order: number;
  /** Attempts that the host sends in a second, of all releases. */
  attemptsPerS: number;
  /** Durations of the old release. */
  entries: readonly IBaselineEntry[];
}

/** A release that is only `suspected` is neither rolled back nor given more requests. */
export type VerdictCertainty = 'suspected' | 'certain';

/** Symptom by which a release is worse than the old ones. */
export interface IReleaseVerdict {
  certainty: VerdictCertainty;
  symptom: Symptom;
  /** `undefined` if all routes together show it. */
  route: string | undefined;
  bad: number;
  total: number;
  /** Rate of bad answers that the release may have. */
  allowedRate: number;
}

/** Sessions that one host has served on the old release and that stay there during a canary stage. */
export interface ISessionHolds {
  service: string;
  host: string;
  order: number;
  /** Hashes of the sessions' keys. */
  sessions: readonly string[];
}

/** Sessions of a service that stay on the old release during the canary stage, as all hosts published them. */
export interface ISessionHoldsEntry {
  service: string;
  /** Hashes of the sessions' keys. */
  sessions: ReadonlySet<string>;
}

/** A request that was in flight at an endpoint when the endpoint crashed. */
export interface ICrashReport {
  fingerprint: string;
  /**
   * Id and start of the endpoint. Reports of one crash by several hosts have the same value and count once.
   */
  crash: string;
}

/** A crash of an endpoint, as the hosts that had attempts in flight at it report it. */
export interface ICrashRecord {
  /** Id and start of the endpoint. Reports of one crash by several hosts have the same id. */
  id: string;
  service: string;
  /** Time of day of the host that reported the crash, in Unix milliseconds. */
  crashedAt: number;
  /** For each attempt without output, the parts of its prompt that other requests can share. */
  prompts: readonly (readonly string[])[];
}

/** A part of prompts of which an answer has begun since some crashes, so that it did not cause them. */
export interface IPartClearance {
  part: string;
  /** Ids of the crashes. */
  crashes: readonly string[];
}

/** What one host knows of the parts of prompts that were in flight at crashes. */
export interface ICrashEvidenceReport {
  host: string;
  crashes: readonly ICrashRecord[];
  clearances: readonly IPartClearance[];
}

/** Parts of prompts that are tried again although they are blocked. */
export interface IPromptTrial {
  service: string;
  parts: readonly string[];
  /** Number of requests that have been allowed to run as a trial. */
  count: number;
  /** Time of day of the host that runs the last trial, in Unix milliseconds. */
  startedAt: number;
}

/** A crash with those prompts that may have caused it. Parts that are cleared are not listed. */
export interface ICrashEvidence {
  id: string;
  crashedAt: number;
  prompts: readonly (readonly string[])[];
}

/** Parts that explain crashes, and the ids of these. */
export interface ICrashingParts {
  parts: readonly string[];
  crashes: readonly string[];
}

/** Finds the parts of prompts that crash the endpoints of a service. */
export type FindCrashingParts = (crashes: readonly ICrashEvidence[]) => readonly ICrashingParts[];

/** A crash of an endpoint as this host knows it from all hosts. */
export interface ICrashEntry extends ICrashRecord {
  /** When this host learned of the crash. */
  seenAt: Millis;
  /** Parts of which an answer has begun since. */
  clearedParts: ReadonlySet<string>;
}

/** Requests to a service whose prompt holds all of some parts are refused, because the parts crash endpoints. */
export interface IPromptBlockEntry {
  service: string;
  parts: readonly string[];
  /** Ids of the crashes that the parts explain. */
  crashes: readonly string[];
  /** Id of the last request of this host that ran as a trial of the parts. Absent before the first. */
  trialRequest?: string;
}

/** Announcement of a host to the others. */
export interface IHostPresence {
  host: string;
  /** Time of day of the host, in Unix milliseconds. */
  announcedAt: number;
  /** `ip:port` where other hosts can ask it for news of the store. Absent if they cannot. */
  address?: string | undefined;
  zone?: string | undefined;
  /** Answers whose ends nothing marks, as this host has seen. Absent if it has seen none. */
  unmarkedEnds?: readonly IUnmarkedEnds[] | undefined;
}

/** Answers of one kind that end with their connection: the streams of a service, or plain answers of a route. */
export interface IUnmarkedEnds {
  kind: 'stream' | 'plain';
  service: string;
  /** Release and route of plain answers. Absent for streams. */
  release?: string | undefined;
  route?: string | undefined;
}

/** Rate of requests that an endpoint takes from all hosts together, as one host heard it. */
export interface IEndpointRateLimit {
  endpoint: string;
  /** Start of the endpoint's process. */
  startedAt: number;
  /** `none` if the endpoint has ended its limit. */
  requestsPerS: number | 'none';
}

/**
 * Computes the least time between two requests of a host to an endpoint that limits the rate of all hosts together.
 * `Infinity` if the host sends it none.
 */
export type ComputeAttemptInterval = (view: IAttemptIntervalView) => Millis;

/** Input of the computation of the time between requests to a limited endpoint. */
export interface IAttemptIntervalView {
  endpoint: string;
  /** Id of this host. */
  host: string;
  /** Ids of the hosts that may send to the endpoint. */
  hosts: readonly string[];
  /** Requests a second that the endpoint takes from all hosts together. */
  requestsPerS: number;
}

/** An availability zone whose endpoints get no requests until the operator ends its evacuation. */
export interface IEvacuatedZone {
  zone: string;
  /** When this host learned of the evacuation. */
  since: Millis;
  /** Revision and era of the operator's key. */
  revision?: number;
  era?: number;
}

/** Decoded value of a key in the store. `unreadable` stands for a value that could not be decoded. */
export type FleetFact =
  | { kind: 'routing-table'; table: IRoutingTable }
  | { kind: 'endpoint'; endpoint: IEndpointAnnouncement }
  | { kind: 'rollout-order'; order: IRolloutOrder }
  | { kind: 'rollout-record'; record: IRolloutRecord }
  | { kind: 'rollout-evidence'; evidence: IRolloutEvidence }
  | { kind: 'release-baseline'; baseline: IReleaseBaseline }
  | { kind: 'session-holds'; holds: ISessionHolds }
  | { kind: 'crash-reports'; host: string; reports: readonly ICrashReport[] }
  | { kind: 'crash-evidence'; report: ICrashEvidenceReport }
  | { kind: 'prompt-trial'; trial: IPromptTrial }
  | { kind: 'host-presence'; presence: IHostPresence }
  | { kind: 'rate-limit'; limit: IEndpointRateLimit }
  | { kind: 'zone-evacuation'; zone: string }
  | { kind: 'unreadable'; reason: string };

/** Sizes of values of the store in bytes, added up by kind of fact. */
export type FactSizes = Readonly<Partial<Record<FleetFact['kind'], number>>>;

/** A fact with its key and revision in the store. */
export interface IFactEntry {
  key: string;
  /** Store revision of the last write to the key. Revisions of different eras cannot be compared. */
  revision: number;
  /**
   * Era of the store in which the fact was read. The store counts up its era each time that it is restored from a copy
   * some seconds old, and gives out again the revisions that it has lost. Default 0.
   */
  era?: number;
  fact: FleetFact;
  /** The value as the store has it, for passing it on to other hosts. Absent if no host asks this one. */
  encoded?: string;
}

/** A write or deletion of one fact. */
export type FactChange = ({ kind: 'put' } & IFactEntry) | { kind: 'delete'; key: string; revision: number };

/** All facts in the store at one revision. */
export interface IFactList {
  facts: readonly IFactEntry[];
  revision: number;
  /** Era of the store. Default 0. */
  era?: number;
}

/** Point in the history of the store. */
export interface IStorePosition {
  revision: number;
  /** Era of the revision. Default 0. */
  era?: number;
}

/**
 * Result of a watch: the changes since a revision, `compacted` if the store no longer has them, or `restored` if the
 * revision is of an earlier era.
 */
export type FactChanges =
  | { kind: 'changes'; changes: readonly FactChange[]; revision: number; era?: number }
  | { kind: 'compacted' }
  | { kind: 'restored' };

/**
 * Why a change that the store tells is taken, or the fact that is known is kept:
 * - `taken`: the change is new;
 * - `older-era`: it was read before the store was restored, or is an order in the copy that an order known replaced;
 * - `known-revision`: its revision is not above that of the fact known, in the same era;
 * - `unreadable`: it cannot be decoded, and a fact is known that can;
 * - `older-version`: it is a routing table with a lower version;
 * - `older-process`: it is the announcement of an earlier process of the endpoint;
 * - `already-leaving`: it announces a process as ready that had announced its leaving.
 */
export type FactVerdict =
  | 'taken'
  | 'older-era'
  | 'known-revision'
  | 'unreadable'
  | 'older-version'
  | 'older-process'
  | 'already-leaving';

/** A change of the store that the host's copy has refused. */
export interface IRefusedChange {
  key: string;
  verdict: Exclude<FactVerdict, 'taken'>;
  revision: number;
  era: number;
}

/** Reads and writes facts in the store. Every call counts against the store's rate limits. */
export interface IFactStore {
  listFacts: () => Promise<Result<IFactList, StoreError>>;
  /** Resolves at the first change after a revision, or without changes once `waitMs` have passed. */
  watchFacts: (after: IStorePosition, waitMs: Millis) => Promise<Result<FactChanges, StoreError>>;
  /** Reads the rollout record of a service; `undefined` if there is none. */
  readRolloutRecord: (service: string) => Promise<Result<IFactEntry | undefined, StoreError>>;
  /**
   * Writes a rollout record if its key has the expected revision, where 0 stands for an absent key.
   * Resolves to the new revision, or to a conflict if the store is no longer in the era of the expected revision.
   */
  writeRolloutRecord: (
    record: IRolloutRecord,
    expectedRevision: number,
    era?: number,
  ) => Promise<Result<number, StoreError>>;
  /** Replaces the crash reports of a host. */
  writeCrashReports: (host: string, reports: readonly ICrashReport[]) => Promise<Result<number, StoreError>>;
  /** Replaces what a host knows of the parts of prompts that were in flight at crashes. */
  writeCrashEvidence: (report: ICrashEvidenceReport) => Promise<Result<number, StoreError>>;
  /**
   * Records the start of a trial if the record of the parts' last trial has the expected revision, where 0 stands
   * for none. Only one host succeeds. Conflicts if the store is no longer in the era of the expected revision.
   */
  writePromptTrial: (
    trial: IPromptTrial,
    expectedRevision: number,
    era?: number,
  ) => Promise<Result<number, StoreError>>;
  writeHostPresence: (presence: IHostPresence) => Promise<Result<number, StoreError>>;
  /**
   * Replaces the record of an endpoint's limit, or deletes it, if it has the expected revision, where 0 stands for no
   * record. Conflicts if the store is no longer in the era of the expected revision.
   */
  writeRateLimit: (
    endpoint: string,
    limit: IEndpointRateLimit | undefined,
    expectedRevision: number,
    era: number,
  ) => Promise<Result<number, StoreError>>;
  writeRolloutEvidence: (evidence: IRolloutEvidence) => Promise<Result<number, StoreError>>;
  /** Replaces the durations that a host has measured of the old release of a service. */
  writeReleaseBaseline: (baseline: IReleaseBaseline) => Promise<Result<number, StoreError>>;
  /** Replaces the sessions that a host holds on the old release of a service. */
  writeSessionHolds: (holds: ISessionHolds) => Promise<Result<number, StoreError>>;
}

/** State of this host's connection to the store, whether it reads the store itself or by way of another host. */
export interface IStoreConnectionEntry {
  state: 'connected' | 'lost';
  /** When `state` last changed. */
  changedAt: Millis;
  /** Time without a reply to a list or watch when `state` last changed. Absent before the first call has ended. */
  silentMs?: Millis;
  /** Store revision of the last successful list or watch. */
  revision: number;
  /** Era of the store at that call. Default 0. */
  era?: number;
  /** How often the connection has been lost. */
  losses: number;
  /** When this host learned of the last restoration of the store. Absent if there was none. */
  restoredAt?: Millis;
  /** Earliest time at which the store can have been back when it was last reached again. Absent before a loss. */
  availableSince?: Millis;
  /** Earliest time at which the changes in the store's last reply can have been made. */
  changesSince: Millis;
  /** Error of the call at which the connection was lost; absent while connected. */
  reason?: string;
  /** Latest time at which this host is known to have had all changes of the store. Absent before the first reply. */
  completeAt?: Millis;
  /** Host that the last news came from. Absent if they came from the store. */
  newsHost?: string | undefined;
  /** Sizes in bytes of the values in the last reply, by kind of fact. Absent if it had none. */
  readBytes?: FactSizes | undefined;
}

/** A change of a rollout's stage that this host decided on, with the evidence that it knew then. */
export interface IRolloutDecision {
  stage: RolloutStage;
  /** Why the release is rolled back; `undefined` for other stages. */
  verdict: IReleaseVerdict | undefined;
  oldCounts: readonly ISymptomCounts[];
  newCounts: readonly ISymptomCounts[];
  /** Number of hosts whose counts are included, this host among them. */
  hostCount: number;
  /** Time since the order was written, at most. */
  elapsedMs: Millis;
}

/** A rollout as this host knows it. */
export interface IRolloutEntry {
  service: string;
  release: string;
  /** Stage in force on this host; `ordered` until the order has a record. */
  stage: RolloutStage | 'ordered';
  /**
   * Stage in the order's record in the store; `undefined` without a record. It differs from `stage` while a
   * rollback that this host has decided is not recorded yet.
   */
  recordedStage: RolloutStage | undefined;
  /**
   * Store revision of the order when it was first read. It identifies the order among the hosts, also after the store was
   * restored and has the order under another revision.
   */
  order: number;
  /** Era of the store in which the order had that revision. Default 0. */
  orderEra?: number;
  /** Whether it follows another order that this host knew, so that no record of an earlier era can be its. */
  isSuccessor?: boolean;
  /** Where the store has the order now. Absent if it is still at its first revision. */
  orderPosition?: IStorePosition;
  /** Store revision of the service's rollout record; 0 if there is none yet. */
  recordRevision: number;
  /** Era of that revision. Default 0. */
  recordEra?: number;
  /** Share of the sessions that use the new release in the stage `canary`; 0 until the order has a record. */
  canaryShare: number;
  /**
   * Largest share of the requests that may reach the release, with the slack at the fleet's rate of requests.
   */
  maxExposureShare: number;
  durationMs: Millis;
  /** When this host first read the order. */
  orderSeenAt: Millis;
  /** Earliest time at which the order can have been written. The times of the rollout count from it. */
  orderedAt: Millis;
  /** When this host first read the current stage. */
  stageSeenAt: Millis;
  /** Verdict for which the rollout does not advance. Absent if there is none. */
  suspicion?: IReleaseVerdict | undefined;
  /** Last decision of this host on the rollout. Absent if other hosts decided on every stage. */
  decision?: IRolloutDecision;
}

/** Limits that can be changed while the host runs. */
export interface IHostLimits {
  /** Largest number of extra attempts per request, as an average over the requests of all hosts. */
  maxRetryShare: number;
  /** Time after the last request of a session for which the session keeps its release. */
  sessionRetentionMs: Millis;
  /** Largest share of a service's requests that may reach a bad release during a rollout. */
  maxExposureShare: number;
  /** Requests beyond that share that a bad release may get during a rollout. */
  exposureSlack: number;
  /** Time that the process has for its shutdown before it is killed. */
  shutdownTimeoutMs: Millis;
  /** Time of uninterrupted contact with the store after which time limits such as `maxApplyDelayMs` bind a host. */
  storeContactMs: Millis;
  /** Time within which a change in the store must take effect. */
  maxApplyDelayMs: Millis;
  /**
   * Requests that a cold endpoint may get from all hosts in a second, as a multiple of the rate that its service names.
   * Absent if the deployment sets no bound.
   */
  coldRateFactor?: number;
  /** Requests beyond that multiple that a cold endpoint may get in a second. Absent if the deployment sets no bound. */
  coldRateSlack?: number;
  /** Memory of the host's process, beyond which the platform kills it. Absent if it is not known. */
  memoryBytes?: number;
  /** Descriptors that the host's process may have open. Absent if it is not known. */
  maxDescriptors?: number;
  /** Rate of this host's network link in bytes a second. Default: that of the narrowest links, 7 Mbit/s. */
  linkBytesPerS?: number;
}
