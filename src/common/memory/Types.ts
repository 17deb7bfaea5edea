import type { Millis } from '../Types.js';

/** Who holds memory: a caller's connection, or the answer of an endpoint that is read as a whole. */
export type HolderKind = 'connection' | 'answer';

/** Memory that is held for one caller or endpoint. */
export interface IHolder {
  kind: HolderKind;
  bytes: number;
  /** When bytes were last sent or received for it. */
  progressAt: Millis;
}

/** What the choice of holders depends on. */
export interface IReliefInput<T extends IHolder> {
  holders: Iterable<T>;
  /** Bytes of all holders together. */
  heldBytes: number;
  budgetBytes: number;
  now: Millis;
}

/** Chooses the holders whose memory is freed when the budget is exceeded, those that pay first at the front. */
export type ChooseHolders = <T extends IHolder>(input: IReliefInput<T>) => readonly T[];

/**
 * What a caller's connection is doing. `idle`: no request is open. `sending`: the body of a request has not arrived
 * completely. `unread`: the caller does not read a response. `waiting`: a request waits for its answer.
 */
export type ConnectionState = 'idle' | 'sending' | 'unread' | 'waiting';

/** Chooses the connection that is closed when there are too many, if any of them is. */
export type ChooseConnection = <T extends { state: ConnectionState }>(
  connections: Iterable<T>,
) => T | undefined;

/** What becomes of a body that has not arrived completely. */
export type UploadDecision = 'wait' | 'refuse';

/** State of a body that has not arrived completely. */
export interface IUploadState {
  now: Millis;
  startedAt: Millis;
  lastByteAt: Millis;
  idleTimeoutMs: Millis;
  /** Time from the start in which the caller and the route allow the request to be answered. */
  timeLeftMs: Millis;
}

/** Decides whether a body that has not arrived completely is waited for. */
export type DecideUpload = (state: IUploadState) => UploadDecision;

/**
 * Why a caller was refused or its connection closed. `upload-memory`: its body was dropped for want of memory.
 * `connection-memory`: its connection held most. `answer-memory`: an endpoint's answer was dropped. `pipeline`: too many
 * requests of a connection wait. `body-timeout`: its body did not arrive in time. `descriptors`: its connection was closed
 * because there were too many.
 */
export type CallerLimitCause =
  'upload-memory' | 'connection-memory' | 'answer-memory' | 'pipeline' | 'body-timeout' | 'descriptors';

/** What the host holds for callers and endpoints, and whom it has refused. */
export interface ICallerLoadEntry {
  heldBytes: number;
  budgetBytes: number;
  connections: number;
  /** How often each limit was applied since the last write of the entry. */
  limited: Readonly<Partial<Record<CallerLimitCause, number>>>;
}
