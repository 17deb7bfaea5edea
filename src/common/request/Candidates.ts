import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IEndpointEntry, IRequestEntry } from '../blackboard/Types.js';

/** Tells whether an endpoint may receive new work. */
export function isAcceptingWork({ health, isEvacuated }: IEndpointEntry): boolean {
  return health !== 'leaving' && health !== 'gone' && isEvacuated !== true;
}

/** Tells whether only the evacuation of its zone keeps an endpoint from new work. */
export function isAwaitingRestoration(endpoint: IEndpointEntry): boolean {
  return endpoint.isEvacuated === true && isAcceptingWork({ ...endpoint, isEvacuated: false });
}

/**
 * Tells whether an endpoint accepts new work and has the request's version or belongs to its plain service.
 */
export function isCandidate(endpoint: IEndpointEntry, request: IRequestEntry): boolean {
  if (!isAcceptingWork(endpoint)) return false;
  if (request.target.kind === 'plain') {
    return endpoint.kind === 'plain' && endpoint.service === request.target.plainService;
  }
  return endpoint.kind === 'engine' && endpoint.versions.includes(request.version ?? '');
}

/** Lists all endpoints of a service, including those that accept no new work. */
export function listServiceEndpoints(board: Blackboard, service: string): Readonly<IEndpointEntry>[] {
  return [...board.endpoints.list()].filter((endpoint) => endpoint.service === service);
}
