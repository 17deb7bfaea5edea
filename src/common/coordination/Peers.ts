import type { Result } from 'true-myth';
import type { Millis } from '../Types.js';

/** Methods that hosts call on one another. All are idempotent. */
export type PeerMethod =
  | 'journal.append'
  | 'journal.lookup'
  | 'bill.hold'
  | 'config.fetch'
  | 'config.push'
  | 'gossip.exchange'
  | 'host.check'
  | 'host.status'
  | 'suspect.report'
  | 'account.lease'
  | 'rollout.report'
  | 'news.ask';

/** Why a call to a peer failed. After `unknown-outcome` the peer may have handled it. */
export type PeerError =
  | { kind: 'unreachable'; message: string }
  | { kind: 'unknown-outcome'; message: string }
  | { kind: 'rejected'; message: string };

/**
 * Calls a method of another host, named by its id. The call fails after `timeoutMs`; by default, after the time that the
 * client is configured with.
 */
export type SendToPeer = (
  host: string,
  method: PeerMethod,
  params: unknown,
  timeoutMs?: Millis,
) => Promise<Result<unknown, PeerError>>;

/** Handles a call from another host; validates the parameters itself and returns a JSON value. */
export type PeerHandler = (params: unknown, from: string) => Promise<unknown>;

/** Handlers by method. */
export type PeerHandlers = Partial<Record<PeerMethod, PeerHandler>>;
