import type { IEndpointEntry } from '../blackboard/Types.js';
import type { ChooseEndpoint, IEndpointView } from '../request/Types.js';
import type { Millis, RandomSource } from '../Types.js';
import { hasRoom } from './Endpoints.js';

/** Options of the choice by affinity. */
export interface IAffinityOptions {
  random: RandomSource;
  /** Hashes texts to a number from 0 up to 1, alike on all hosts. */
  hashPoint: (text: string) => number;
}

/**
 * Age at which a load report counts for 1/e. A host in a large fleet hears from an endpoint only every few seconds,
 * and takes one that it has forgotten for idle.
 */
const REPORT_FADING_MS: Millis = 4000;

/** Burden relative to the mean, and beyond it, up to which affinity decides. */
const MAX_BURDEN_FACTOR = 1.3;
const MAX_BURDEN_EXCESS = 1.5;

/** Bound on a reported slowness, so that one report does not exclude an endpoint for long. */
const MAX_SLOWNESS = 10;

/** Wait for a first output that doubles the burden. */
const LONG_WAIT_MS: Millis = 600;

/** Burden of an endpoint in another zone relative to an equal local one: bytes between zones cost. */
const REMOTE_FACTOR = 1.1;

/** Spread of the random factor that keeps hosts with equal knowledge from choosing alike. */
const RANDOM_SPREAD = 0.1;

/**
 * Creates the choice by rendezvous hash of the shared part of a prompt: all hosts send a prompt's
 * requests to the same endpoint, where the shared part is cached, without telling one another. An endpoint
 * with far more work than the mean is passed over for the next by hash. Requests that share nothing go to
 * the endpoint with the least work.
 */
export function createChooseByAffinity({ hashPoint, random }: IAffinityOptions): ChooseEndpoint {
  return (view) => {
    const open = filterOpen(view);
    if (open.length === 0) return undefined;
    const burdens = open.map((endpoint) => ({ endpoint, burden: estimateBurden(endpoint, view.now) }));
    const shared = findSharedPrefix(view);
    if (shared !== undefined) {
      const mean = burdens.reduce((sum, { burden }) => sum + burden, 0) / burdens.length;
      const limit = MAX_BURDEN_FACTOR * mean + MAX_BURDEN_EXCESS;
      return pickHighest(
        burdens.filter(({ burden }) => burden <= limit),
        ({ endpoint }) => hashPoint(`${shared}|${endpoint.id}`),
      )?.endpoint.id;
    }
    return pickHighest(burdens, ({ burden, endpoint }) => {
      const zoneFactor = endpoint.zone === view.zone ? 1 : REMOTE_FACTOR;
      return -burden * zoneFactor * (1 + RANDOM_SPREAD * random());
    })?.endpoint.id;
  };
}

/**
 * Estimates the work that a request would find at an endpoint, times how slowly it is done. An attempt that
 * has waited long for its first output tells of slowness before any report does.
 */
export function estimateBurden(endpoint: Readonly<IEndpointEntry>, now: Millis): number {
  const { firstTokenWaitMs = 0, inFlight, report } = endpoint;
  const waiting = 1 + firstTokenWaitMs / LONG_WAIT_MS;
  if (!report) return (1 + inFlight) * waiting;
  const fading = Math.exp(-Math.max(0, now - report.receivedAt) / REPORT_FADING_MS);
  const others = Math.max(0, report.running + report.waiting - inFlight);
  const slowness = 1 + fading * (Math.min(MAX_SLOWNESS, Math.max(1, report.slowness ?? 1)) - 1);
  return (1 + inFlight + fading * others) * Math.max(slowness, waiting);
}

/** The longest prefix that other requests have too: the last part is the request's or session's own. */
function findSharedPrefix({ request }: IEndpointView): string | undefined {
  return request.target.kind === 'model' ? request.target.prefixHashes.at(-2) : undefined;
}

/** Endpoints with room; those that failed the request or are being probed only where there is no other. */
function filterOpen({ candidates, length, request }: IEndpointView): readonly Readonly<IEndpointEntry>[] {
  const open = candidates.filter((endpoint) => hasRoom(endpoint, length));
  const probed = request.isIdempotent ? open.filter(({ health }) => health === 'probing') : [];
  if (probed.length > 0 && request.attemptCount === 0) return probed;
  const settled = open.filter(({ health }) => health === 'healthy');
  const usable = settled.length > 0 ? settled : open;
  const unfailed = usable.filter(({ id }) => !(request.failedEndpoints ?? []).includes(id));
  return unfailed.length > 0 ? unfailed : usable;
}

function pickHighest<T>(items: readonly T[], score: (item: T) => number): T | undefined {
  let best: T | undefined;
  let highest = -Infinity;
  for (const item of items) {
    const value = score(item);
    if (value <= highest) continue;
    best = item;
    highest = value;
  }
  return best;
}
