import type { Millis } from '../Types.js';

/** Duration of a lease on a share of an account's rate limit. */
export const SHARE_LEASE_MS: Millis = 5000;

/**
 * Share of an account's rate limit that is split evenly among the hosts without leases. A host uses it for
 * the first requests of an account, and while it has no lease and the fallback rate does not apply.
 */
export const UNLEASED_SHARE = 0.1;

/** Demand of one host, and the rate that it may still use under earlier leases. */
export interface IShareHolder {
  host: string;
  /** Requests per second offered at the host. */
  demand: number;
  /** Highest rate among the host's leases that have not expired. */
  outstandingRate: number;
}

/** Input of the computation of a host's share. */
export interface IShareView {
  /** Requests per second that the account may make over all hosts. */
  limit: number;
  /** Host that requests the lease. */
  host: string;
  holders: readonly IShareHolder[];
  liveHostCount: number;
}

/** Computes the rate to lease to a host. */
export type ComputeShare = (view: IShareView) => number;

/**
 * Leases the rate in proportion to demand if the demand exceeds the leasable part of the limit. Otherwise
 * each host gets its demand and an equal part of the spare rate. The rate that other hosts may still use
 * under earlier leases is not leased again, so the total never exceeds the limit.
 */
export const computeShareByDemand: ComputeShare = ({ holders, host, limit, liveHostCount }) => {
  const leasableRate = limit * (1 - UNLEASED_SHARE);
  const totalDemand = holders.reduce((sum, { demand }) => sum + demand, 0);
  const hostDemand = holders.find((holder) => holder.host === host)?.demand ?? 0;
  const targetRate =
    totalDemand > leasableRate
      ? (leasableRate * hostDemand) / totalDemand
      : hostDemand + (leasableRate - totalDemand) / Math.max(1, liveHostCount, holders.length);
  const otherOutstandingRate = holders.reduce(
    (sum, holder) => sum + (holder.host === host ? 0 : holder.outstandingRate),
    0,
  );
  return Math.max(0, Math.min(targetRate, leasableRate - otherOutstandingRate));
};

/** Computes the rate of a host without a lease: its equal part of the unleased share of the limit. */
export function computeUnleasedRate(limit: number, liveHosts: number): number {
  return (limit * UNLEASED_SHARE) / Math.max(1, liveHosts);
}

/**
 * Computes the rate of a host that cannot reach the host that grants leases: the limit divided by the live
 * hosts.
 */
export function computeFallbackRate(limit: number, liveHosts: number): number {
  return limit / Math.max(1, liveHosts);
}
