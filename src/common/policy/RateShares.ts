import type { Millis } from '../Types.js';

/** Time for which a share is leased. */
export const SHARE_LEASE_MS: Millis = 5000;

/**
 * Share of a limit that is split evenly and needs no lease. It serves the first requests of an account at
 * a host and whatever a host admits while it has neither a lease nor the fallback.
 */
export const UNLEASED_SHARE = 0.1;

/** Demand of one host and the rate that may still be in use there from earlier leases. */
export interface IShareHolder {
  host: string;
  /** Requests per second offered at the host. */
  demand: number;
  /** Highest rate of the host's leases that have not ended. */
  outstandingRate: number;
}

/** What the decision on a share looks at. */
export interface IShareView {
  /** Requests per second that the account may make over all hosts. */
  limit: number;
  /** Host that asks. */
  host: string;
  holders: readonly IShareHolder[];
  liveHosts: number;
}

/** Computes the rate to lease to a host. */
export type ComputeShare = (view: IShareView) => number;

/**
 * Shares the leased part of a limit in proportion to demand; spare rate is split evenly among the hosts.
 * What other hosts may still use from earlier leases is left out, so the total never exceeds the limit.
 */
export const computeShareByDemand: ComputeShare = ({ holders, host, limit, liveHosts }) => {
  const pot = limit * (1 - UNLEASED_SHARE);
  const demands = holders.reduce((sum, { demand }) => sum + demand, 0);
  const own = holders.find((holder) => holder.host === host)?.demand ?? 0;
  const wanted =
    demands > pot ? (pot * own) / demands : own + (pot - demands) / Math.max(1, liveHosts, holders.length);
  const taken = holders.reduce((sum, holder) => sum + (holder.host === host ? 0 : holder.outstandingRate), 0);
  return Math.max(0, Math.min(wanted, pot - taken));
};

/** Computes the rate of a host without a lease: the evenly split part of the limit. */
export function computeUnleasedRate(limit: number, liveHosts: number): number {
  return (limit * UNLEASED_SHARE) / Math.max(1, liveHosts);
}

/** Computes the rate of a host that cannot reach the coordinating host: the limit over the live hosts. */
export function computeFallbackRate(limit: number, liveHosts: number): number {
  return limit / Math.max(1, liveHosts);
}
