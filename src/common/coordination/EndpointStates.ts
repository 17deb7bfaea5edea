import type { IEndpointEntry } from '../blackboard/Types.js';
import type { Millis } from '../Types.js';

/** What the host list says of an endpoint that decides on its health. */
export interface IListedEndpointState {
  state: 'live' | 'leaving';
  /** Start of the endpoint; undefined when the list does not give it. */
  incarnation: number | undefined;
}

/**
 * Decides what a known endpoint's health becomes by the host list. A `leaving` endpoint stays so while
 * the list, which lags, says `live`. It returns with a later start; where the list gives no start, when
 * the list itself had said `leaving` before, or had dropped the endpoint.
 */
export function reconcileEndpoint(
  known: IEndpointEntry,
  listedBefore: IListedEndpointState | undefined,
  listed: IListedEndpointState,
  now: Millis,
): IEndpointEntry {
  const incarnation = Math.max(listed.incarnation ?? 0, known.incarnation ?? 0);
  const hasRestarted = incarnation > (known.incarnation ?? 0);
  // A list entry of an earlier start is an old value and says nothing about the present one.
  const isOld = listed.incarnation !== undefined && listed.incarnation < incarnation;
  const hasReturned =
    listed.incarnation === undefined &&
    listed.state === 'live' &&
    (listedBefore?.state === 'leaving' || known.health === 'gone');
  const next = { ...known, incarnation };
  if (listed.state === 'leaving' && !isOld) return setHealth(next, 'leaving', now);
  const isBack = hasRestarted || hasReturned || (known.health === 'gone' && !isOld);
  // The last report and the failures belong to the earlier start.
  return isBack ? setHealth({ ...next, report: undefined, consecutiveFailures: 0 }, 'healthy', now) : next;
}

function setHealth(endpoint: IEndpointEntry, health: IEndpointEntry['health'], now: Millis): IEndpointEntry {
  const healthChangedAt = endpoint.health === health ? endpoint.healthChangedAt : now;
  return { ...endpoint, health, healthChangedAt };
}
