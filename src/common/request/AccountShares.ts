import * as z from 'zod';
import type { Blackboard } from '../blackboard/Blackboard.js';
import type { PeerHandler } from '../coordination/Peers.js';
import {
  computeFallbackRate,
  SHARE_LEASE_MS,
  type ComputeShare,
  type IShareHolder,
} from '../policy/RateShares.js';
import type { IClock, Millis } from '../Types.js';

/** Options of the handler that leases shares of account limits to hosts. */
export interface IAccountSharesOptions {
  board: Blackboard;
  clock: IClock;
  computeShare: ComputeShare;
}

/** Parameters of `account.lease`. */
export const LEASE_PARAMS = z.object({
  service: z.string(),
  account: z.string(),
  demand: z.number().min(0).max(1e9),
});

/** Reply to `account.lease`. */
export const LEASE_REPLY = z.object({ rate: z.number().min(0), leaseMs: z.number().min(0) });

interface IGrant {
  rate: number;
  endsAt: Millis;
}

interface IHolder {
  /** Requests per second that the host last reported. */
  demand: number;
  /**
   * Leases that the host may still use. A new lease does not end an older one, because the reply that carries
   * the new one may be lost.
   */
  grants: IGrant[];
}

/**
 * Creates the handler of `account.lease` calls at the coordinating host. It keeps the leases in memory only;
 * a new coordinating host learns of the demand from the next renewals.
 */
export function createLeaseHandler(options: IAccountSharesOptions): PeerHandler {
  const accounts = new Map<string, Map<string, IHolder>>();
  return (params, from) => {
    const { account, demand, service } = LEASE_PARAMS.parse(params);
    const key = `${service}/${account}`;
    const holders = accounts.get(key) ?? new Map<string, IHolder>();
    accounts.set(key, holders);
    return Promise.resolve(leaseShare(options, holders, { service, account, demand, host: from }));
  };
}

interface ILeaseRequest {
  service: string;
  account: string;
  demand: number;
  host: string;
}

function leaseShare(
  { board, clock, computeShare }: IAccountSharesOptions,
  holders: Map<string, IHolder>,
  { account, demand, host, service }: ILeaseRequest,
): z.output<typeof LEASE_REPLY> {
  const limit = board.services.get(service)?.document.accounts[account]?.requestsPerSecond;
  if (limit === undefined) return { rate: 0, leaseMs: SHARE_LEASE_MS };
  const now = clock.now();
  const holder = holders.get(host) ?? { demand, grants: [] };
  holders.set(host, holder);
  holder.demand = demand;
  removeInactiveHosts(board, holders, host, now);
  const liveHostCount = countLiveHosts(board);
  const shareHolders = listShareHolders(holders, computeFallbackRate(limit, liveHostCount));
  const rate = computeShare({ limit, host, holders: shareHolders, liveHostCount });
  // An older grant that is not higher ends before the new one, so it can be dropped.
  holder.grants = holder.grants.filter((grant) => grant.rate > rate);
  holder.grants.push({ rate, endsAt: now + SHARE_LEASE_MS });
  return { rate, leaseMs: SHARE_LEASE_MS };
}

/**
 * Removes ended grants, and hosts without a grant that are gone or reported no demand. Any other host keeps
 * an even share reserved: it may be disconnected from this host only, still serve callers, and use the
 * fallback rate.
 */
function removeInactiveHosts(
  board: Blackboard,
  holders: Map<string, IHolder>,
  requestingHost: string,
  now: Millis,
): void {
  for (const [host, holder] of holders) {
    holder.grants = holder.grants.filter(({ endsAt }) => endsAt > now);
    const isGone = board.hosts.get(host)?.state === 'gone';
    if (host !== requestingHost && holder.grants.length === 0 && (isGone || holder.demand === 0))
      holders.delete(host);
  }
}

function listShareHolders(holders: ReadonlyMap<string, IHolder>, fallbackRate: number): IShareHolder[] {
  return [...holders].map(([host, { demand, grants }]) => ({
    host,
    demand,
    outstandingRate: grants.length > 0 ? Math.max(...grants.map(({ rate }) => rate)) : fallbackRate,
  }));
}

/** Counts the hosts that are not `gone` and so may serve callers; returns at least 1. */
export function countLiveHosts(board: Blackboard): number {
  let count = 0;
  for (const { state } of board.hosts.list()) if (state !== 'gone') count += 1;
  return Math.max(1, count);
}
