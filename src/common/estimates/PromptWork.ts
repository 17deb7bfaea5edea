import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IRequestEntry } from '../blackboard/Types.js';
import { computeLastingSlowness } from '../policy/EndpointSpeed.js';
import type { Millis } from '../Types.js';
import { estimateCachedTokens, formatCachedPrefix } from './CachedPrompts.js';
import type { IPromptWork } from './Types.js';

/** Time to read a token of a prompt, until it has been measured. */
const DEFAULT_MS_PER_TOKEN: Millis = 0.03;

/**
 * Time for which a prefix is expected to stay in the cache of an endpoint after its last use, if the endpoint's memory is
 * not known.
 */
const CACHE_RETENTION_MS: Millis = 15_000;

/**
 * Estimates what an endpoint has to read of a prompt before it answers.
 *
 * `assumedCachedShare` is the share of the prompt's shared parts, 0 to 1, that is expected in the endpoint's cache if
 * this host has not sent them there itself.
 * @example
 * const { prefillMs } = estimatePromptWork(board, { request, endpoint: 'e-1', assumedCachedShare: 0, now });
 */
export function estimatePromptWork(
  board: Blackboard,
  options: { request: IRequestEntry; endpoint: string; assumedCachedShare: number; now: Millis },
): IPromptWork {
  const { request } = options;
  if (request.target.kind !== 'model') return { uncachedTokens: 0, prefillMs: 0 };
  const { promptTokens } = request.target;
  const cached = estimateCachedTokens(board, options);
  const cachedTokens = cached
    ? cached.tokens * cached.certainty
    : Math.min(promptTokens, countCachedTokens(board, options));
  const uncachedTokens = promptTokens - cachedTokens;
  const slowness = getSlowness(board, options.endpoint, options.now);
  const prefillMs = uncachedTokens * slowness * getMsPerToken(board, request.version);
  return { uncachedTokens, prefillMs, ...(cached ? { cached } : {}) };
}

/**
 * Returns the time in which the endpoints of a version read a token of a prompt.
 * @example
 * const fullMs = promptTokens * getMsPerToken(board, 'small@v1');
 */
export function getMsPerToken(board: Blackboard, version: string | undefined): Millis {
  return board.prefillRates.get(version ?? '')?.msPerToken ?? DEFAULT_MS_PER_TOKEN;
}

/**
 * Returns the time that an endpoint takes for its work in the long run, relative to the usual time.
 * @example
 * const msPerToken = getSlowness(board, 'e-1', now) * getMsPerToken(board, 'small@v1');
 */
export function getSlowness(board: Blackboard, endpoint: string, now: Millis): number {
  const entry = board.endpoints.get(endpoint);
  return entry ? computeLastingSlowness(entry, now) : 1;
}

function countCachedTokens(
  board: Blackboard,
  {
    request,
    endpoint,
    assumedCachedShare,
    now,
  }: { request: IRequestEntry; endpoint: string; assumedCachedShare: number; now: Millis },
): number {
  if (request.target.kind !== 'model') return 0;
  const { prefixHashes, prefixTokens = [] } = request.target;
  const sharedTokens = prefixTokens.at(-2) ?? 0;
  const assumedTokens = assumedCachedShare * sharedTokens;
  for (let index = prefixHashes.length - 1; index >= 0; index -= 1) {
    const key = formatCachedPrefix(endpoint, request.version ?? '', prefixHashes[index] ?? '');
    const sentAt = board.cachedPrefixes.get(key)?.sentAt;
    if (sentAt === undefined || now - sentAt > CACHE_RETENTION_MS) continue;
    return Math.max(assumedTokens, prefixTokens[index] ?? 0);
  }
  return assumedTokens;
}
