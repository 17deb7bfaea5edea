import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IRequestEntry } from '../blackboard/Types.js';
import { formatPool, type EndpointIndex } from '../request/EndpointIndex.js';
import { estimateWork } from '../request/RouteController.js';
import type { IClock, Millis } from '../Types.js';
import { estimatePromptWork } from './PromptWork.js';

/** Answers that an endpoint makes at a time, if it does not say how many slots it has. */
const DEFAULT_SLOTS = 32;

/**
 * Factor by which the known time of a token rises with each request. Tokens come more slowly while prompts are read, which
 * is counted by the prompts, so the lowest samples are followed.
 */
const TOKEN_TIME_INCREASE = 1.002;

/** Options of the estimate of a request's work. */
export interface IRequestWorkOptions {
  board: Blackboard;
  clock: IClock;
  index: EndpointIndex;
}

/**
 * Creates the estimate of the time for which a request occupies an endpoint. The endpoint reads one prompt at a time and
 * makes tokens for all of its slots together, so the time of the tokens is divided by the slots. The shared parts of the
 * prompt count as cached: other requests of the class have had them read.
 * @example
 * const estimateRequestWork = createEstimateRequestWork({ board, clock, index });
 * const workMs = estimateRequestWork(request); // 24
 */
export function createEstimateRequestWork({
  board,
  clock,
  index,
}: IRequestWorkOptions): (request: IRequestEntry) => Millis {
  const tokenTimes = new Map<string, Millis>();
  return (request) => {
    const pool = formatPool(request);
    const endpoint = index.listCandidates(request)[0];
    const prompt = { request, endpoint: endpoint?.id ?? '', assumedCachedShare: 1, now: clock.now() };
    const { prefillMs } = estimatePromptWork(board, prompt);
    const sampleMs = board.workEstimates.get(pool)?.tokenMs ?? 0;
    const tokenMs = Math.min(sampleMs, TOKEN_TIME_INCREASE * (tokenTimes.get(pool) ?? sampleMs));
    tokenTimes.set(pool, tokenMs);
    const { expectedTokens } = estimateWork(board, request);
    return prefillMs + (expectedTokens * tokenMs) / (endpoint?.slots ?? DEFAULT_SLOTS);
  };
}
