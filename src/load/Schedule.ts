import { createSeededRandom } from '../adapters/Random.js';
import type { RandomSource } from '../common/Types.js';
import type { CallKind, ILoadPlan, IPlannedRequest } from './Types.js';

const KINDS: readonly CallKind[] = ['stream', 'whole', 'plain'];

/** Plan of a small load; the fields that a caller sets replace these. */
export const DEFAULT_PLAN: ILoadPlan = {
  seed: 1,
  steps: [{ requestsPerSecond: 10, durationMs: 10_000 }],
  mix: { stream: 1, whole: 0, plain: 0 },
  tokens: 64,
  longShare: 0,
  longFactor: 50,
  sessions: 0,
  keyedShare: 0,
  accounts: 1,
};

/** Plans all requests of a load: Poisson arrivals, step after step, drawn from the seed. */
export function planRequests(plan: ILoadPlan): IPlannedRequest[] {
  const random = createSeededRandom(plan.seed);
  const requests: IPlannedRequest[] = [];
  let stepStart = 0;
  for (const step of plan.steps) {
    const stepEnd = stepStart + step.durationMs;
    const meanGapMs = 1000 / step.requestsPerSecond;
    for (
      let atMs = stepStart + sampleGap(random, meanGapMs);
      atMs < stepEnd;
      atMs += sampleGap(random, meanGapMs)
    ) {
      requests.push(planRequest(plan, random, requests.length, atMs));
    }
    stepStart = stepEnd;
  }
  return requests;
}

function planRequest(plan: ILoadPlan, random: RandomSource, index: number, atMs: number): IPlannedRequest {
  const kind = pickKind(plan.mix, random());
  const isLong = random() < plan.longShare;
  const account = Math.floor(random() * plan.accounts);
  const session = Math.floor(random() * plan.sessions);
  const hasKey = random() < plan.keyedShare || kind === 'plain';
  return {
    seed: plan.seed,
    index,
    atMs,
    kind,
    tokens: isLong ? plan.tokens * plan.longFactor : plan.tokens,
    isLong,
    account,
    session: plan.sessions > 0 && kind !== 'plain' ? `session-${session}` : undefined,
    idempotencyKey: hasKey ? `load-${plan.seed}-${index}` : undefined,
  };
}

/** Samples the time to the next arrival of a Poisson process. */
function sampleGap(random: RandomSource, meanMs: number): number {
  return -Math.log(1 - random()) * meanMs;
}

function pickKind(mix: ILoadPlan['mix'], draw: number): CallKind {
  const total = KINDS.reduce((sum, kind) => sum + mix[kind], 0);
  let rest = draw * total;
  for (const kind of KINDS) {
    rest -= mix[kind];
    if (rest < 0) return kind;
  }
  return 'stream';
}
