import type { Millis } from '../Types.js';
import type { ChooseConnection, ChooseHolders, ConnectionState, DecideUpload, IHolder } from './Types.js';

/** Memory is freed down to this share of the budget, so that not each further byte starts a choice of its own. */
const RELIEVED_SHARE = 7 / 8;

/** Added to the time without progress, so that of holders that all make progress the largest pays. */
const PROGRESS_BASE_MS: Millis = 1000;

/**
 * Chooses the holders with the largest product of bytes and time without progress. An ordinary request holds a hundredth
 * of what a caller holds that keeps bodies or unread responses, so it pays last. Guards a host against crowds of callers
 * that send without end or do not read.
 * @example
 * const [first] = chooseStalledHolders({ holders, heldBytes: 41e6, budgetBytes: 40e6, now });
 */
export const chooseStalledHolders: ChooseHolders = ({ budgetBytes, heldBytes, holders, now }) => {
  let remaining = heldBytes - RELIEVED_SHARE * budgetBytes;
  const score = ({ bytes, progressAt }: IHolder): number => bytes * (PROGRESS_BASE_MS + now - progressAt);
  const ranked = [...holders]
    .filter(({ bytes }) => bytes > 0)
    .map((holder) => ({ holder, score: score(holder) }))
    .sort((first, second) => second.score - first.score);
  const chosen = ranked.filter(({ holder }) => {
    const isNeeded = remaining > 0;
    if (isNeeded) remaining -= holder.bytes;
    return isNeeded;
  });
  return chosen.map(({ holder }) => holder);
};

/**
 * Chooses the connection that is closed when a caller opens one too many: the one that has been idle for longest, or
 * else one that does not send the rest of a body, or does not read its response. A connection whose request is waiting
 * for its answer is not chosen, so that the new one is closed if all are of that kind. Guards the descriptors for
 * connections to endpoints and other hosts against crowds of callers.
 * @param connections In the order of their last activity, the longest inactive first.
 * @example
 * chooseConnectionToClose([{ state: 'waiting' }, { state: 'idle' }]); // { state: 'idle' }
 */
export const chooseConnectionToClose: ChooseConnection = <T extends { state: ConnectionState }>(
  connections: Iterable<T>,
) => {
  const firstByState = new Map<ConnectionState, T>();
  for (const connection of connections) {
    if (connection.state === 'idle') return connection;
    if (!firstByState.has(connection.state)) firstByState.set(connection.state, connection);
  }
  return firstByState.get('sending') ?? firstByState.get('unread');
};

/**
 * Refuses a body of which nothing arrives for as long as an idle connection is kept, and one that arrives only after its
 * request could have been answered: such a request is refused anyway. A slow caller whose body still arrives in time is
 * waited for. Guards a host against bodies that stop short of their end.
 * @example
 * decideUploadByTime({ now: 9000, startedAt: 0, lastByteAt: 8000, idleTimeoutMs: 15_000, timeLeftMs: 8000 }); // 'refuse'
 */
export const decideUploadByTime: DecideUpload = ({
  idleTimeoutMs,
  lastByteAt,
  now,
  startedAt,
  timeLeftMs,
}) => (now - lastByteAt >= idleTimeoutMs || now - startedAt >= timeLeftMs ? 'refuse' : 'wait');
