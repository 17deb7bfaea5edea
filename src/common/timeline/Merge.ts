import type { ITimelineEvent } from './Types.js';

/** Which events to keep; a missing field keeps all. */
export interface ITimelineFilter {
  request?: string | undefined;
  host?: string | undefined;
  version?: string | undefined;
  service?: string | undefined;
}

/**
 * Merges the events of several hosts. Lamport time, then host, then sequence is a causal order: a cause
 * always has a lower Lamport time than its effect. Events that are given twice appear once.
 */
export function mergeEvents(records: readonly (readonly ITimelineEvent[])[]): ITimelineEvent[] {
  const unique = new Map<string, ITimelineEvent>();
  // A host that restarts counts from 1 again, so its wall-clock time tells the two events apart.
  for (const event of records.flat()) {
    unique.set(`${event.host} ${event.lamport} ${event.sequence} ${event.at}`, event);
  }
  return [...unique.values()].sort(compareEvents);
}

/**
 * Keeps the events that match every field. An event of a request matches a version or a service when
 * any event of the same request does, so that the way of a request stays whole.
 */
export function filterEvents(events: readonly ITimelineEvent[], filter: ITimelineFilter): ITimelineEvent[] {
  const { host, request, service, version } = filter;
  const ofVersion = collectRequests(events, 'version', version);
  const ofService = collectRequests(events, 'service', service);
  return events.filter(
    (event) =>
      (host === undefined || event.host === host) &&
      (request === undefined || event.fields.request === request) &&
      (version === undefined || event.fields.version === version || isOfRequests(event, ofVersion)) &&
      (service === undefined || event.fields.service === service || isOfRequests(event, ofService)),
  );
}

function compareEvents(first: ITimelineEvent, second: ITimelineEvent): number {
  if (first.lamport !== second.lamport) return first.lamport - second.lamport;
  if (first.host !== second.host) return first.host < second.host ? -1 : 1;
  return first.sequence - second.sequence;
}

function collectRequests(
  events: readonly ITimelineEvent[],
  field: 'version' | 'service',
  value: string | undefined,
): ReadonlySet<unknown> {
  if (value === undefined) return new Set();
  const matching = events.filter(({ fields }) => fields[field] === value);
  return new Set(matching.flatMap(({ fields }) => fields.request ?? []));
}

function isOfRequests(event: ITimelineEvent, requests: ReadonlySet<unknown>): boolean {
  return requests.has(event.fields.request);
}
