import type { ITimelineEvent } from './Types.js';

/** Conditions on events. An event must meet all of them; an absent field is no condition. */
export interface ITimelineFilter {
  request?: string | undefined;
  host?: string | undefined;
  version?: string | undefined;
  service?: string | undefined;
}

/**
 * Merges the events of several hosts and removes duplicates. Sorts by Lamport time, then host, then sequence.
 * This puts each cause before its effects, since a cause always has a lower Lamport time.
 */
export function mergeEvents(timelines: readonly (readonly ITimelineEvent[])[]): ITimelineEvent[] {
  const eventsByKey = new Map<string, ITimelineEvent>();
  // A restarted host counts from 1 again. The wall-clock time in the key tells events from before and after
  // the restart apart.
  for (const event of timelines.flat()) {
    eventsByKey.set(`${event.host} ${event.lamport} ${event.sequence} ${event.at}`, event);
  }
  return [...eventsByKey.values()].sort(compareEvents);
}

/**
 * Returns the events that meet every condition of a filter. An event of a request meets the condition on
 * version or service if any event of the same request does, so that the request's events are not returned in
 * part.
 */
export function filterEvents(events: readonly ITimelineEvent[], filter: ITimelineFilter): ITimelineEvent[] {
  const { host, request, service, version } = filter;
  const requestsOfVersion = collectRequestIds(events, 'version', version);
  const requestsOfService = collectRequestIds(events, 'service', service);
  return events.filter(
    (event) =>
      (host === undefined || event.host === host) &&
      (request === undefined || event.fields.request === request) &&
      (version === undefined ||
        event.fields.version === version ||
        isEventOfRequests(event, requestsOfVersion)) &&
      (service === undefined ||
        event.fields.service === service ||
        isEventOfRequests(event, requestsOfService)),
  );
}

function compareEvents(first: ITimelineEvent, second: ITimelineEvent): number {
  if (first.lamport !== second.lamport) return first.lamport - second.lamport;
  if (first.host !== second.host) return first.host < second.host ? -1 : 1;
  return first.sequence - second.sequence;
}

function collectRequestIds(
  events: readonly ITimelineEvent[],
  field: 'version' | 'service',
  value: string | undefined,
): ReadonlySet<unknown> {
  if (value === undefined) return new Set();
  const matching = events.filter(({ fields }) => fields[field] === value);
  return new Set(matching.flatMap(({ fields }) => fields.request ?? []));
}

function isEventOfRequests(event: ITimelineEvent, requestIds: ReadonlySet<unknown>): boolean {
  return requestIds.has(event.fields.request);
}
