import type { Result } from 'true-myth';
import type { PeerError } from '../coordination/Peers.js';
import type { FleetFact, IHostPresence, IStorePosition } from '../fleet/Types.js';
import type { ITunnelContext } from '../paths/Types.js';
import type { Millis } from '../Types.js';

/** A value of the store in the form in which hosts pass it on. */
export interface IEncodedFact {
  key: string;
  revision: number;
  encoded: string;
}

/** A write of a value of the store, or its deletion if `encoded` is absent. */
export interface IEncodedChange {
  key: string;
  revision: number;
  encoded?: string | undefined;
}

/** How old news are when they are passed on. */
export interface INewsAge {
  /** Time since the host that passes them on was last known to have all changes of the store. */
  completeMs: Millis;
  /** Longest time ago that the changes can have been made. */
  madeMs: Millis;
  /** Longest time for which the store can have been back after its last loss. Absent without a loss. */
  availableMs?: Millis | undefined;
}

/**
 * Answer to a host that asks for news: the changes since its position, or all facts if that position is too long ago or
 * of another era. `unavailable`: the host that was asked has lost the store itself. `busy`: it has passed on as much as
 * its link bears.
 */
export type NewsReply =
  | { kind: 'changes'; era: number; revision: number; changes: readonly IEncodedChange[]; age: INewsAge }
  | { kind: 'list'; era: number; revision: number; facts: readonly IEncodedFact[]; age: INewsAge }
  | { kind: 'unavailable' }
  | { kind: 'busy' };

/** Answer with news. */
export type NewsContent = Extract<NewsReply, { kind: 'changes' | 'list' }>;

/**
 * Asks another host for the news since a position. Resolves at the first change, or without changes once `waitMs` have
 * passed.
 */
export type AskForNews = (
  host: string,
  position: IStorePosition,
  waitMs: Millis,
) => Promise<Result<NewsReply, PeerError>>;

/** Decodes a value that another host has passed on. */
export type DecodePassedFact = (key: string, encoded: string) => FleetFact;

/** Where a host reads news of the store next. */
export type NewsSource = { kind: 'store' } | { kind: 'host'; host: string };

/**
 * Why a host is not asked for news for a time: it did not answer, its news were too old, it has lost the store, or it has
 * passed on as much as it can.
 */
export type NewsFailure = 'unreachable' | 'outdated' | 'unavailable' | 'busy';

/** Connections to the other hosts, by which hosts ask one another for news. */
export interface INewsNetwork {
  askForNews: AskForNews;
  /** Starts to answer the questions of other hosts. */
  startListening: () => Promise<void>;
  /** Resolves once no other host has a connection to an endpoint by way of this one. */
  drainTunnels: () => Promise<void>;
  close: () => void;
}

/** State and functions of the host that its network uses. */
export interface INewsNetworkContext {
  /** Finds the announcement of another host. */
  findHost: (host: string) => Readonly<IHostPresence> | undefined;
  handleQuestion: (position: IStorePosition, waitMs: Millis) => Promise<NewsReply>;
  /** Lamport clock of this host, which messages carry. */
  lamport: { read: () => number; observe: (lamport: number) => void };
  /** Decides on the connections to endpoints that other hosts ask for. */
  tunnels: ITunnelContext;
}
