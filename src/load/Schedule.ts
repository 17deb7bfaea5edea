import { createSeededRandom } from '../adapters/Random.js';
import type { RandomSource } from '../common/Types.js';
import type { CallKind, ILoadPlan, IPlannedRequest } from './Types.js';

const CALL_KINDS: readonly CallKind[] = ['stream', 'whole', 'plain'];

/** Plan of a small load of streamed chat completions. Callers copy it and replace single fields. */
export const DEFAULT_PLAN: ILoadPlan = {
  seed: 1,
  steps: [{ requestsPerSecond: 10, durationMs: 10_000 }],
  kindWeights: { stream: 1, whole: 0, plain: 0 },
  tokens: 64,
  longShare: 0,
  longFactor: 50,
  sessions: 0,
  keyedShare: 0,
  accounts: 1,
};

/**
 * Plans all requests of a load. In each step the requests arrive as a Poisson process with the rate of the
 * step. All random values come from a generator with the seed of the plan.
 */
export function planRequests(plan: ILoadPlan): IPlannedRequest[] {
  const random = createSeededRandom(plan.seed);
  const requests: IPlannedRequest[] = [];
  let stepStartMs = 0;
  for (const step of plan.steps) {
    const stepEndMs = stepStartMs + step.durationMs;
    const meanInterarrivalMs = 1000 / step.requestsPerSecond;
    for (
      let atMs = stepStartMs + sampleInterarrivalMs(random, meanInterarrivalMs);
      atMs < stepEndMs;
      atMs += sampleInterarrivalMs(random, meanInterarrivalMs)
    ) {
      requests.push(planRequest(plan, random, requests.length, atMs));
    }
    stepStartMs = stepEndMs;
  }
  return requests;
}

function planRequest(plan: ILoadPlan, random: RandomSource, index: number, atMs: number): IPlannedRequest {
  const kind = pickKind(plan.kindWeights, random());
  const isLong = random() < plan.longShare;
  const account = Math.floor(random() * plan.accounts);
  const session = Math.floor(random() * plan.sessions);
  const hasIdempotencyKey = random() < plan.keyedShare || kind === 'plain';
  return {
    seed: plan.seed,
    index,
    atMs,
    kind,
    tokens: isLong ? plan.tokens * plan.longFactor : plan.tokens,
    isLong,
    account,
    session: plan.sessions > 0 && kind !== 'plain' ? `session-${session}` : undefined,
    idempotencyKey: hasIdempotencyKey ? `load-${plan.seed}-${index}` : undefined,
  };
}

/** Samples the time between two arrivals of a Poisson process, which is exponentially distributed. */
function sampleInterarrivalMs(random: RandomSource, meanMs: number): number {
  return -Math.log(1 - random()) * meanMs;
}

/** Picks a kind of call with a probability proportional to its weight. `draw` is uniform in [0, 1). */
function pickKind(mix: ILoadPlan['kindWeights'], draw: number): CallKind {
  const totalWeight = CALL_KINDS.reduce((sum, kind) => sum + mix[kind], 0);
  let remainingWeight = draw * totalWeight;
  for (const kind of CALL_KINDS) {
    remainingWeight -= mix[kind];
    if (remainingWeight < 0) return kind;
  }
  return 'stream';
}
