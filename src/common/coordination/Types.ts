import type { Result, Unit } from 'true-myth';
import type { Millis } from '../Types.js';

/** A value in the store, with the version that a compare-and-swap must name. */
export interface IStoreValue {
  value: string;
  /** Grows with every write to the store; 0 stands for an absent key. */
  version: number;
}

/** Why a store call failed. After `unknown-outcome` the write may have taken effect. */
export type StoreError =
  | { kind: 'conflict'; current: IStoreValue | undefined }
  | { kind: 'unavailable'; message: string }
  | { kind: 'unknown-outcome'; message: string };

/** Options of a store write. */
export interface IPutOptions {
  /** Version that the key must have; 0 when it must be absent. */
  expectedVersion: number;
  /** Time after which the store removes the key, as for a lease. Default: never. */
  ttlMs?: Millis;
}

/**
 * The platform's key-value service, as functions. Every call counts against the rate limits of the
 * service. A watch counts as one call, however long it waits.
 */
export interface IStore {
  get: (key: string) => Promise<Result<IStoreValue | undefined, StoreError>>;
  put: (key: string, value: string, options: IPutOptions) => Promise<Result<number, StoreError>>;
  delete: (key: string, expectedVersion: number) => Promise<Result<Unit, StoreError>>;
  /** Waits until the key has a version above `afterVersion`; resolves with `undefined` on a time-out. */
  watch: (
    key: string,
    afterVersion: number,
    timeoutMs: Millis,
  ) => Promise<Result<IStoreValue | undefined, StoreError>>;
}

/** What a client account is charged for one request. */
export interface IBill {
  service: string;
  account: string;
  request: string;
  version: string;
  promptTokens: number;
  completionTokens: number;
  /** In the currency unit of the service document. */
  cost: number;
}

/** An answer stored with a claim, so that a repeated request receives it. */
export interface IStoredAnswer {
  status: number;
  contentType: string;
  body: string;
}

/**
 * How long a record is kept. `short` is for keys that no caller can repeat because they are
 * derived from the request id; `long` covers the retention of idempotency keys and sessions.
 */
export type Retention = 'short' | 'long';

/** One entry of the journal. Keys are hashes of client account and idempotency key. */
export type JournalEntry =
  | {
      kind: 'claim';
      key: string;
      request: string;
      atMs: number;
      retention?: Retention;
      /** Hash of the claimed request, so that a repeat of the key with different content is detected. */
      fingerprint?: string;
    }
  | { kind: 'release'; key: string; request: string }
  | {
      kind: 'outcome';
      key: string;
      request: string;
      outcome: 'done' | 'failed';
      answer: IStoredAnswer | undefined;
    }
  | { kind: 'bill'; key: string; bill: IBill; atMs: number; retention?: Retention }
  | { kind: 'pin'; key: string; version: string; atMs: number };

/** State of a claim. `unclaimed` is the state of a key without a record or after a release. */
export type ClaimState = 'unclaimed' | 'claimed' | 'done' | 'failed';

/** Record that the journal keeps of one key. */
export interface IJournalRecord {
  key: string;
  claim: ClaimState;
  /** Request that holds or held the claim. */
  request: string | undefined;
  answer: IStoredAnswer | undefined;
  /** Request whose bill was counted for the key; bills of other requests for the key are not counted. */
  billedRequest: string | undefined;
  /** Version that a session is pinned to. */
  version: string | undefined;
  /** Wall-clock time of the first entry, for retention. */
  atMs: number;
  /** Default: `long`. */
  retention?: Retention;
  /** Hash of the request that claimed the key first. */
  fingerprint?: string;
}

/**
 * Result of one appended entry. A `duplicate` changed nothing; `record` is the record that existed before.
 */
export type AppendOutcome = { kind: 'committed' } | { kind: 'duplicate'; record: IJournalRecord };

/** Why an append failed. After `unknown-outcome` the entries may be committed later. */
export type JournalError =
  | { kind: 'not-owner'; message: string }
  | { kind: 'unavailable'; message: string }
  | { kind: 'unknown-outcome'; message: string };

/** The journal as the request path uses it: in this process, or through the host that owns the partition. */
export interface IJournal {
  /** Appends entries of one key atomically. */
  append: (
    key: string,
    entries: readonly JournalEntry[],
  ) => Promise<Result<readonly AppendOutcome[], JournalError>>;
  /** Reads the committed record of a key. */
  lookup: (key: string) => Promise<Result<IJournalRecord | undefined, JournalError>>;
}

/** Bills of one client account, added up. */
export interface IBillTotal {
  service: string;
  account: string;
  count: number;
  promptTokens: number;
  completionTokens: number;
  cost: number;
}
