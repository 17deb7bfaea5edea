import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAttemptEntry } from '../blackboard/Types.js';
import type { PathKind } from '../paths/Types.js';

/**
 * Finds how the next connection to the endpoint of an attempt is opened.
 * @example
 * findPath(board, attempt); // 'relayed' while another host leads to the endpoint
 */
export function findPath(
  { endpointPaths, endpoints }: Blackboard,
  { endpoint }: Pick<IAttemptEntry, 'endpoint'>,
): PathKind {
  return endpointPaths.get(endpoints.get(endpoint)?.address ?? '')?.kind ?? 'direct';
}
