import type { IEndpointEntry, IRequestEntry } from '../blackboard/Types.js';
import type { ChooseEndpoint, CompareQueued, IEndpointView } from '../request/Types.js';
import type { Priority, RandomSource } from '../Types.js';

/** Requests of this host in flight at one endpoint, above which new ones wait in the queue. */
const MAX_IN_FLIGHT_PER_ENDPOINT = 64;

const PRIORITY_RANK: Readonly<Record<Priority, number>> = { high: 0, normal: 1, low: 2 };

/** Chooses the endpoint with the fewest requests of this host in flight; ties by a random draw. */
export function createChooseLeastInFlight(random: RandomSource): ChooseEndpoint {
  return (view) => pickLowest(listWithRoom(view), (endpoint) => endpoint.inFlight, random);
}

/** Baseline: the endpoint with the least load in its last report. */
export function createChooseLeastReported(random: RandomSource): ChooseEndpoint {
  const readLoad = ({ report }: IEndpointEntry): number => (report ? report.running + report.waiting : 0);
  return (view) => pickLowest(view.candidates, readLoad, random);
}

/** Baseline: the endpoints in turn. */
export function createChooseRoundRobin(): ChooseEndpoint {
  let turn = 0;
  return ({ candidates }) => {
    turn += 1;
    return candidates[turn % candidates.length]?.id;
  };
}

/** Orders the queue by priority, then by deadline. */
export const compareByPriority: CompareQueued = (first: IRequestEntry, second: IRequestEntry) =>
  PRIORITY_RANK[first.priority] - PRIORITY_RANK[second.priority] || first.deadlineAt - second.deadlineAt;

function listWithRoom(view: IEndpointView): readonly Readonly<IEndpointEntry>[] {
  return view.candidates.filter((endpoint) => endpoint.inFlight < MAX_IN_FLIGHT_PER_ENDPOINT);
}

function pickLowest(
  endpoints: readonly Readonly<IEndpointEntry>[],
  score: (endpoint: IEndpointEntry) => number,
  random: RandomSource,
): string | undefined {
  const lowest = Math.min(...endpoints.map(score));
  const best = endpoints.filter((endpoint) => score(endpoint) === lowest);
  return best[Math.floor(random() * best.length)]?.id;
}
