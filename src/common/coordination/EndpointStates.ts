import type { IEndpointEntry } from '../blackboard/Types.js';
import type { Millis } from '../Types.js';

/** The part of an endpoint's entry in the host list that determines its health. */
export interface IListedEndpointState {
  state: 'live' | 'leaving';
  /** Grows with each start of the endpoint; undefined when the list does not give it. */
  incarnation: number | undefined;
}

/**
 * Computes the entry of a known endpoint from its entry in the host list. The list lags, so an endpoint
 * that is `leaving` stays so while the list still says `live`. It becomes `healthy` again with a higher
 * incarnation. If the list gives no incarnation, it becomes `healthy` when the list says `live` after it
 * had said `leaving`, or after the endpoint was `gone`.
 */
export function reconcileEndpoint(
  known: IEndpointEntry,
  listedBefore: IListedEndpointState | undefined,
  listed: IListedEndpointState,
  now: Millis,
): IEndpointEntry {
  const incarnation = Math.max(listed.incarnation ?? 0, known.incarnation ?? 0);
  const hasRestarted = incarnation > (known.incarnation ?? 0);
  // A list entry with a lower incarnation is out of date and says nothing about the current one.
  const isStale = listed.incarnation !== undefined && listed.incarnation < incarnation;
  const hasReappeared =
    listed.incarnation === undefined &&
    listed.state === 'live' &&
    (listedBefore?.state === 'leaving' || known.health === 'gone');
  const next = { ...known, incarnation };
  if (listed.state === 'leaving' && !isStale) return setHealth(next, 'leaving', now);
  const isAvailableAgain = hasRestarted || hasReappeared || (known.health === 'gone' && !isStale);
  // The last report and the failures belong to the previous incarnation.
  return isAvailableAgain
    ? setHealth({ ...next, report: undefined, consecutiveFailures: 0 }, 'healthy', now)
    : next;
}

function setHealth(endpoint: IEndpointEntry, health: IEndpointEntry['health'], now: Millis): IEndpointEntry {
  const healthChangedAt = endpoint.health === health ? endpoint.healthChangedAt : now;
  return { ...endpoint, health, healthChangedAt };
}
