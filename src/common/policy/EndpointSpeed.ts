import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IEndpointEntry, IEndpointSpeed } from '../blackboard/Types.js';
import { formatPool } from '../request/EndpointIndex.js';
import type { IEndpointView } from '../request/Types.js';
import type { Millis } from '../Types.js';

/** Bounds of the lasting slowness. An endpoint that is slower for a time shows that in its latest report. */
const MIN_LASTING = 0.5;
const MAX_LASTING = 2;

/** Weight of a report after the first ones, of which each counts as much as those before it and the usual speed. */
const MIN_REPORT_WEIGHT = 0.2;

/** Lasting slowness that counts as the usual speed, so that small differences change no choice. */
const USUAL_RANGE = [0.85, 1.15] as const;

/** Age of the last report at which the lasting slowness has returned to the usual by 1/e, on a logarithmic scale. */
const SPEED_DECAY_MS: Millis = 120_000;

/**
 * Weight of a later end, relative to a later start. Callers wait for the first output, and the end tells only how long a
 * slot is taken: with a weight of 0.3 and more, the fastest endpoints of a small fleet had queues in played loads.
 */
const END_WEIGHT = 0.1;

/** Upper bound on the reported slowness, so that a single report does not exclude an endpoint for long. */
const MAX_SLOWNESS = 10;

/**
 * Combines what is known of the speed of an endpoint with a report. One report changes the slowness by a factor of 1.42
 * at most.
 * @example
 * combineSpeed(undefined, { slowness: 0.625, receivedAt: 0 }); // { slowness: 0.79, reports: 1, heardAt: 0 }
 */
export function combineSpeed(
  known: IEndpointSpeed | undefined,
  { receivedAt, slowness }: { slowness: number; receivedAt: Millis },
): IEndpointSpeed {
  const { reports, slowness: before } = known ?? { reports: 0, slowness: 1 };
  const bounded = Math.min(MAX_LASTING, Math.max(MIN_LASTING, slowness));
  const weight = Math.max(MIN_REPORT_WEIGHT, 1 / (reports + 2));
  return {
    slowness: before * (bounded / before) ** weight,
    reports: reports + 1,
    heardAt: receivedAt,
  };
}

/**
 * Computes the time that an endpoint takes for its work in the long run, relative to the usual time. It is less than 1
 * for an endpoint that is faster than usual.
 * @example
 * computeLastingSlowness({ ...endpoint, speed: { slowness: 0.625, reports: 9, heardAt: now } }, now); // 0.625
 */
export function computeLastingSlowness(
  { speed }: Readonly<Pick<IEndpointEntry, 'speed'>>,
  now: Millis,
): number {
  if (!speed) return 1;
  const slowness = speed.slowness ** Math.exp(Math.min(0, speed.heardAt - now) / SPEED_DECAY_MS);
  const [from, to] = USUAL_RANGE;
  return slowness >= from && slowness <= to ? 1 : slowness;
}

/**
 * Computes the time that an endpoint takes for its work now, relative to the usual time: the lasting slowness, or a
 * higher one of the last report, discounted by `reportWeight`.
 * @example
 * computeSlowness({ ...endpoint, report: { ...report, slowness: 5 } }, { now, reportWeight: 0.5 }); // 3
 */
export function computeSlowness(
  endpoint: Readonly<Pick<IEndpointEntry, 'report' | 'speed'>>,
  { now, reportWeight }: { now: Millis; reportWeight: number },
): number {
  const lasting = computeLastingSlowness(endpoint, now);
  const reported = Math.min(MAX_SLOWNESS, endpoint.report?.slowness ?? 1);
  return lasting + reportWeight * Math.max(0, reported - lasting);
}

/**
 * Creates the function that tells what it costs that an endpoint would take longer for an answer, once begun, than the
 * fastest of the candidates. It is 0 if all work at the usual speed.
 * @example
 * const computeEndCost = createComputeEndCost(board, view);
 * const costMs = startMs + computeEndCost(endpoint);
 */
export function createComputeEndCost(
  board: Blackboard,
  { candidates, now, request }: Pick<IEndpointView, 'candidates' | 'now' | 'request'>,
): (endpoint: Readonly<IEndpointEntry>) => Millis {
  const slownesses = new Map<string, number>();
  let fastest = Infinity;
  let slowest = 0;
  for (const endpoint of candidates) {
    const slowness = computeLastingSlowness(endpoint, now);
    slownesses.set(endpoint.id, slowness);
    fastest = Math.min(fastest, slowness);
    slowest = Math.max(slowest, slowness);
  }
  if (slowest <= fastest) return () => 0;
  const usual = board.workEstimates.get(formatPool(request));
  const usualMs = usual ? Math.max(0, usual.tokens - 1) * usual.tokenMs : 0;
  return ({ id }) => ((slownesses.get(id) ?? fastest) - fastest) * END_WEIGHT * usualMs;
}
