import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IEndpointEntry, IRequestEntry } from '../blackboard/Types.js';

/** Tells whether an endpoint may receive new work. */
export function isAcceptingWork(endpoint: IEndpointEntry): boolean {
  return endpoint.health !== 'leaving' && endpoint.health !== 'gone';
}

/** Tells whether an endpoint can run a request: right kind, right service, version loaded. */
export function isCandidate(endpoint: IEndpointEntry, request: IRequestEntry): boolean {
  if (!isAcceptingWork(endpoint)) return false;
  if (request.target.kind === 'plain') {
    return endpoint.kind === 'plain' && endpoint.service === request.target.plainService;
  }
  return endpoint.kind === 'engine' && endpoint.versions.includes(request.version ?? '');
}

/** Lists the endpoints of a service, those that leave included. */
export function listServiceEndpoints(board: Blackboard, service: string): Readonly<IEndpointEntry>[] {
  return [...board.endpoints.list()].filter((endpoint) => endpoint.service === service);
}
