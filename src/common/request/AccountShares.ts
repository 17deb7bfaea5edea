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

/** Options of the coordinating side of account limits. */
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
  demand: number;
  /** Leases that may still be in use. A reply may be lost, so a new lease does not end an older one. */
  grants: IGrant[];
}

/** Creates the handler of `account.lease`: the coordinating side, with soft state only. */
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

interface ILeaseCall {
  service: string;
  account: string;
  demand: number;
  host: string;
}

function leaseShare(
  { board, clock, computeShare }: IAccountSharesOptions,
  holders: Map<string, IHolder>,
  { account, demand, host, service }: ILeaseCall,
): z.output<typeof LEASE_REPLY> {
  const limit = board.services.get(service)?.document.accounts[account]?.requestsPerSecond;
  if (limit === undefined) return { rate: 0, leaseMs: SHARE_LEASE_MS };
  const now = clock.now();
  const holder = holders.get(host) ?? { demand, grants: [] };
  holders.set(host, holder);
  holder.demand = demand;
  removeEnded(board, holders, host, now);
  const liveHosts = countLiveHosts(board);
  const listed = listHolders(holders, computeFallbackRate(limit, liveHosts));
  const rate = computeShare({ limit, host, holders: listed, liveHosts });
  // An older grant that is no higher ends sooner and adds nothing.
  holder.grants = holder.grants.filter((grant) => grant.rate > rate);
  holder.grants.push({ rate, endsAt: now + SHARE_LEASE_MS });
  return { rate, leaseMs: SHARE_LEASE_MS };
}

/**
 * Forgets hosts without a lease that are gone or reported no demand. Any other silent host keeps an even
 * share reserved, because it may still run, cut off from this host only, and use the fallback rate.
 */
function removeEnded(board: Blackboard, holders: Map<string, IHolder>, asking: string, now: Millis): void {
  for (const [host, holder] of holders) {
    holder.grants = holder.grants.filter(({ endsAt }) => endsAt > now);
    const isGone = board.hosts.get(host)?.state === 'gone';
    if (host !== asking && holder.grants.length === 0 && (isGone || holder.demand === 0))
      holders.delete(host);
  }
}

function listHolders(holders: ReadonlyMap<string, IHolder>, fallbackRate: number): IShareHolder[] {
  return [...holders].map(([host, { demand, grants }]) => ({
    host,
    demand,
    outstandingRate: grants.length > 0 ? Math.max(...grants.map(({ rate }) => rate)) : fallbackRate,
  }));
}

/** Counts the hosts that may serve callers, at least one. */
export function countLiveHosts(board: Blackboard): number {
  let count = 0;
  for (const { state } of board.hosts.list()) if (state !== 'gone') count += 1;
  return Math.max(1, count);
}
