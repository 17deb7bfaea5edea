import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IClock, Millis } from '../Types.js';

/** Options of the test for endpoints that may be standing still. */
export interface IStandstillOptions {
  board: Blackboard;
  clock: IClock;
  /** Whether silence of the endpoint at an address is the endpoint's, rather than that of this host's link to it. */
  isVerdictSound: (address: string) => boolean;
}

/** Time since its last answer to this host for which an endpoint does not count as standing still. */
const RECENT_ANSWER_MS: Millis = 250;

/**
 * Creates the function that tells whether an endpoint may be standing still as a whole, so that its silence does not
 * concern one attempt or its connection alone.
 * @example
 * const mayStandStill = createMayStandStill({ board, clock, isVerdictSound: () => true });
 * mayStandStill('endpoint-1'); // false within 250 ms after an answer of the endpoint
 */
export function createMayStandStill(options: IStandstillOptions): (endpoint: string) => boolean {
  const { board, clock, isVerdictSound } = options;
  return (id) => {
    const endpoint = board.endpoints.get(id);
    if (!endpoint || !isVerdictSound(endpoint.address)) return false;
    return clock.now() - (endpoint.answeredAt ?? -Infinity) >= RECENT_ANSWER_MS;
  };
}
