import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IEndpointEntry, IRequestEntry } from '../blackboard/Types.js';
import { isCandidate } from '../request/Candidates.js';
import type { Millis } from '../Types.js';
import type { ICachedEstimate, IPromptWork, IServicePrompts } from './Types.js';

/** Lists the endpoints that other hosts send a prompt prefix to first, likeliest first. */
export type FindHolders = (
  sharedPrefix: string,
  endpoints: readonly Readonly<Pick<IEndpointEntry, 'id'>>[],
) => readonly string[];

/** Tells a share, 0 to 1, for an endpoint. */
export type ReadShare = (endpoint: Readonly<Pick<IEndpointEntry, 'id' | 'coldPace'>>) => number;

/** What is known of an endpoint's memory before an estimate. */
interface ICachedQuestion {
  request: IRequestEntry;
  endpoint: string;
  /** Certainty, 0 to 1, that requests of other hosts have made the endpoint cache the shared parts. */
  assumedCachedShare: number;
  now: Millis;
}

/**
 * Shares of a prompt's shared parts that are expected to be cached at the first endpoints by rendezvous hashing, because
 * the other hosts send them there. Further endpoints are expected to hold none.
 */
const HOLDER_SHARES: readonly number[] = [1, 0.5];

/** Number of prefixes whose ranks are remembered, at about 4 KB each for 63 endpoints. */
const MAX_RANKED_PREFIXES = 200;

/**
 * Time within which the other hosts are expected to have filled the cache of a process. With steady traffic, a shared
 * prefix is sent to its first endpoint every few seconds.
 */
const FILL_MS: Millis = 5000;

/**
 * Tokens sent since the last use of a prefix at which it is surely held, and surely evicted, relative to the memory.
 * Between them the certainty falls evenly, because what other hosts send is known only in the mean.
 */
const SURELY_HELD = 0.5;
const SURELY_EVICTED = 1.5;

/** Share of the memory that is left to cached prompts at least, however many requests are expected to run. */
const MIN_CACHE_SHARE = 0.1;

/** Weight of the newest request in the mean memory of requests. */
const MEAN_WEIGHT = 0.05;

/** Number of checks that the correction of the certainty is computed over; older ones count less. */
const CHECK_WINDOW = 50;

/** Number of expectations that are assumed to have been met, so that few checks change little. */
const PRIOR_CHECKS = 10;

/** Bounds of the correction. Waits for other prompts are taken for missing prefixes at times, so it is not trusted fully. */
const MIN_CORRECTION = 0.5;
const MAX_CORRECTION = 1.25;

/** Smallest reading time saved that a delay is expected to show. With less, other delays prevail. */
const MIN_CHECKED_MS: Millis = 40;

/**
 * Formats the key of a prefix in the `cachedPrefixes` panel. It includes the version, because versions do not share
 * caches.
 * @example
 * formatCachedPrefix('e-1', 'small@v1', '/5c1e'); // 'e-1|small@v1|/5c1e'
 */
export function formatCachedPrefix(endpoint: string, version: string, hash: string): string {
  return `${endpoint}|${version}|${hash}`;
}

/**
 * Creates the ranking of endpoints for shared prefixes by rendezvous hashing. Ranks are remembered, because a hash of
 * each endpoint would be most of the cost of a choice.
 * @example
 * const findHolders = createFindHolders(hashToFraction);
 * findHolders('/5c1e', endpoints); // ['e-7', 'e-2']
 */
export function createFindHolders(hashToFraction: (text: string) => number): FindHolders {
  const ranksByPrefix = new Map<string, Map<string, number>>();
  return (sharedPrefix, endpoints) => {
    const ranks = ranksByPrefix.get(sharedPrefix) ?? new Map<string, number>();
    // The ranks are set anew, so that the map lists prefixes in order of last use.
    ranksByPrefix.delete(sharedPrefix);
    ranksByPrefix.set(sharedPrefix, ranks);
    for (const prefix of ranksByPrefix.keys()) {
      if (ranksByPrefix.size <= MAX_RANKED_PREFIXES) break;
      ranksByPrefix.delete(prefix);
    }
    const best = { id: '', rank: -1 };
    const next = { id: '', rank: -1 };
    for (const { id } of endpoints) {
      const rank = ranks.get(id) ?? hashToFraction(`${sharedPrefix}|${id}`);
      ranks.set(id, rank);
      if (rank > best.rank) {
        Object.assign(next, best);
        Object.assign(best, { id, rank });
      } else if (rank > next.rank) Object.assign(next, { id, rank });
    }
    return [best.id, next.id].filter((id) => id !== '');
  };
}

/**
 * Creates the function that tells which share of a prompt's shared parts the other hosts send to an endpoint, whether or
 * not it holds them yet.
 * @example
 * const readHolderShare = createReadHolderShare({ findHolders, request, endpoints: candidates });
 * readHolderShare({ id: 'e-7' }); // 1
 */
export function createReadHolderShare({
  endpoints,
  findHolders,
  request,
}: {
  findHolders: FindHolders;
  request: IRequestEntry;
  endpoints: readonly Readonly<IEndpointEntry>[];
}): ReadShare {
  const prefix = findSharedPrefix(request);
  if (prefix === undefined) return () => 0;
  const holders = findHolders(prefix, endpoints);
  return ({ id }) => HOLDER_SHARES[holders.indexOf(id)] ?? 0;
}

/**
 * Computes how certain it is that requests of other hosts have made an endpoint cache what they send there. A process
 * that this host has just seen for the first time is expected to hold nothing, unless the memory is not known.
 * @example
 * const share = readHolderShare(endpoint) * computeFilledShare(board, { service: 'drafts', endpoint: 'e-7', now });
 */
export function computeFilledShare(
  board: Blackboard,
  { endpoint, now, service }: { service: string; endpoint: string; now: Millis },
): number {
  if (findCacheTokens(board, service) === undefined) return 1;
  if (board.presentHosts.size === 1) return 0;
  const seenAt = board.endpointPrompts.get(endpoint)?.seenAt ?? now;
  return 1 - Math.exp(Math.min(0, seenAt - now) / FILL_MS);
}

/**
 * Estimates which tokens of a prompt an endpoint of known memory still holds, from what this host has sent there, what
 * has been sent there since, and `assumedCachedShare`. `undefined` if the memory is not known.
 * @example
 * const estimate = estimateCachedTokens(board, { request, endpoint: 'e-1', assumedCachedShare: 0, now });
 * const expected = estimate.tokens * estimate.certainty;
 */
export function estimateCachedTokens(
  board: Blackboard,
  question: ICachedQuestion,
): ICachedEstimate | undefined {
  const { assumedCachedShare, endpoint, request } = question;
  const cacheTokens = findCacheTokens(board, request.service);
  if (cacheTokens === undefined || request.target.kind !== 'model') return undefined;
  const { prefixHashes, prefixTokens = [], promptTokens } = request.target;
  const sharedTokens = Math.min(promptTokens, prefixTokens.at(-2) ?? 0);
  let best = { tokens: sharedTokens, certainty: assumedCachedShare };
  for (const [index, hash] of prefixHashes.entries()) {
    const key = formatCachedPrefix(endpoint, request.version ?? '', hash);
    const certainty = estimateHeldShare(board, key, { endpoint, service: request.service, cacheTokens });
    const tokens = Math.min(promptTokens, prefixTokens[index] ?? 0);
    if (certainty * tokens > best.certainty * best.tokens) best = { tokens, certainty };
  }
  if (best.certainty === 0) return { tokens: 0, certainty: 0, uncorrected: 0 };
  const certainty = Math.min(1, best.certainty * computeCorrection(board, request.service));
  return { ...best, certainty, uncorrected: best.certainty };
}

/**
 * Records the memory that a prompt and its answer take at an endpoint. Only what is not in the cache yet takes memory.
 * @example
 * recordPrompt(board, { request, endpoint: 'e-1', work, answerTokens: 60 });
 */
export function recordPrompt(
  board: Blackboard,
  options: { request: IRequestEntry; endpoint: string; work: IPromptWork; answerTokens: number },
): void {
  const { answerTokens, endpoint, request, work } = options;
  if (request.target.kind !== 'model') return;
  const { endpointPrompts, servicePrompts } = board;
  const { prefixTokens = [], promptTokens } = request.target;
  const ownTokens = Math.max(0, promptTokens - (prefixTokens.at(-2) ?? 0)) + answerTokens;
  const taken = work.uncachedTokens + answerTokens;
  const sent = endpointPrompts.get(endpoint);
  if (sent) endpointPrompts.set(endpoint, { ...sent, tokens: sent.tokens + taken });
  const all = servicePrompts.get(request.service) ?? createServicePrompts(request.service);
  const meanTokens = all.meanTokens + MEAN_WEIGHT * (ownTokens - all.meanTokens);
  servicePrompts.set(request.service, {
    ...all,
    meanTokens: all.meanTokens === 0 ? ownTokens : meanTokens,
    takenTokens: all.takenTokens + taken,
    promptTokens: all.promptTokens + promptTokens,
    cachedTokens: all.cachedTokens + promptTokens - work.uncachedTokens,
  });
}

/**
 * Keeps when this host first saw the process of an endpoint, and the number of endpoints of each service.
 * @example
 * board.endpoints.onChange(({ before, after }) => { recordProcess(board, before, after, clock.now()); });
 */
export function recordProcess(
  board: Blackboard,
  before: IEndpointEntry | undefined,
  after: IEndpointEntry | undefined,
  now: Millis,
): void {
  if (after && before?.incarnation === after.incarnation && before?.service === after.service) return;
  const { endpointPrompts, servicePrompts } = board;
  for (const [entry, change] of [[before, -1] as const, [after, 1] as const]) {
    if (!entry) continue;
    const all = servicePrompts.get(entry.service) ?? createServicePrompts(entry.service);
    servicePrompts.set(entry.service, { ...all, endpoints: Math.max(0, all.endpoints + change) });
  }
  if (after) {
    const { id, incarnation } = after;
    endpointPrompts.set(id, { endpoint: id, incarnation, seenAt: now, tokens: 0 });
  } else if (before) endpointPrompts.delete(before.id);
}

/**
 * Compares the wait of an attempt for its first output with the wait that was expected with and without the cached
 * tokens, and records whether they were there. A wait that other prompts may have caused says nothing.
 * @example
 * recordCacheCheck(board, { service: 'drafts', work, waitMs: 90, otherWaitMs: 0, msPerToken: 0.03, promptTokens: 4000 });
 */
export function recordCacheCheck(
  board: Blackboard,
  options: {
    service: string;
    work: IPromptWork;
    promptTokens: number;
    msPerToken: Millis;
    waitMs: Millis;
    /** Wait for other prompts that was expected when the attempt was sent. */
    otherWaitMs: Millis;
  },
): void {
  const { msPerToken, otherWaitMs, promptTokens, service, waitMs, work } = options;
  const { cached } = work;
  if (!cached || cached.uncorrected === 0) return;
  const savedMs = cached.tokens * msPerToken;
  const fullMs = promptTokens * msPerToken;
  if (savedMs < MIN_CHECKED_MS || otherWaitMs > savedMs / 4 || waitMs > fullMs + savedMs / 2) return;
  const isMet = waitMs < fullMs - savedMs / 2;
  const known = board.cacheChecks.get(service) ?? {
    service,
    expected: 0,
    met: 0,
    metCount: 0,
    missedCount: 0,
  };
  const keep = 1 - 1 / CHECK_WINDOW;
  board.cacheChecks.set(service, {
    service,
    expected: keep * known.expected + cached.uncorrected,
    met: keep * known.met + (isMet ? 1 : 0),
    metCount: known.metCount + (isMet ? 1 : 0),
    missedCount: known.missedCount + (isMet ? 0 : 1),
  });
}

/**
 * Finds the hash of the longest prefix that other requests can share. The last hash is of the prefix that belongs to a
 * single request or session, so the one before it is taken.
 * @example
 * findSharedPrefix(request); // '/5c1e'
 */
export function findSharedPrefix({ target }: IRequestEntry): string | undefined {
  return target.kind === 'model' ? target.prefixHashes.at(-2) : undefined;
}

/**
 * Finds the tokens that the memory of each endpoint of a service holds; `undefined` if that is not known.
 * @example
 * findCacheTokens(board, 'drafts'); // 236757
 */
export function findCacheTokens(board: Blackboard, service: string): number | undefined {
  return board.routing.get('in-force')?.services.get(service)?.cacheTokens;
}

/**
 * Lists the endpoints that can run a request.
 * @example
 * const holders = findHolders(prefix, listPeers(board, request));
 */
export function listPeers(board: Blackboard, request: IRequestEntry): IEndpointEntry[] {
  return [...board.endpoints.list()].filter((endpoint) => isCandidate(endpoint, request));
}

/** Estimates the probability that a prefix which this host has sent to an endpoint has not been evicted since. */
function estimateHeldShare(
  board: Blackboard,
  key: string,
  options: { endpoint: string; service: string; cacheTokens: number },
): number {
  const { cacheTokens, endpoint, service } = options;
  const sent = board.cachedPrefixes.get(key);
  if (!sent) return 0;
  const process = board.endpointPrompts.get(endpoint);
  const all = board.servicePrompts.get(service);
  if (!process || !all) return 0;
  if (sent.sentAt < process.seenAt || sent.incarnation !== process.incarnation) return 0;
  const ownTokens = process.tokens - (sent.endpointTokens ?? 0);
  const otherHosts = Math.max(0, board.presentHosts.size - 1);
  // What other hosts send is known only in the mean: as much as this host, evenly over the endpoints.
  const otherTokens =
    (otherHosts * (all.takenTokens - (sent.serviceTokens ?? 0))) / Math.max(1, all.endpoints);
  const runningTokens = (board.endpoints.get(endpoint)?.report?.running ?? 0) * all.meanTokens;
  const memory = Math.max(MIN_CACHE_SHARE * cacheTokens, cacheTokens - runningTokens);
  const used = (ownTokens + otherTokens) / memory;
  return Math.min(1, Math.max(0, (SURELY_EVICTED - used) / (SURELY_EVICTED - SURELY_HELD)));
}

/** Computes the factor by which the certainty is corrected, from how often expectations were met. */
function computeCorrection(board: Blackboard, service: string): number {
  const { expected, met } = board.cacheChecks.get(service) ?? { expected: 0, met: 0 };
  const factor = (PRIOR_CHECKS + met) / (PRIOR_CHECKS + expected);
  return Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, factor));
}

function createServicePrompts(service: string): IServicePrompts {
  return { service, endpoints: 0, takenTokens: 0, meanTokens: 0, promptTokens: 0, cachedTokens: 0 };
}
