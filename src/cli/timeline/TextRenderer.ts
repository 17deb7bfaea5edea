import { classifyStep } from '../../common/timeline/Layout.js';
import type { ITimelineEvent } from '../../common/timeline/Types.js';
import { formatTable } from '../Table.js';

/** Renders events as a text table, in the given order. */
export function renderTimelineText(events: readonly ITimelineEvent[]): string {
  const header = ['lamport', 'host', 'kind', 'step', 'request', 'fields'];
  const rows = events.map((event) => {
    const step = classifyStep(event);
    const request = String(event.fields.request ?? '');
    const stepText = step === 'other' ? '' : step;
    return [event.lamport, event.host, event.kind, stepText, request, formatEventFields(event, ' ')];
  });
  return formatTable(header, rows);
}

/** Formats the fields of an event as `name=value`, except for the request id. */
export function formatEventFields({ fields }: ITimelineEvent, separator: string): string {
  return Object.entries(fields)
    .filter(([name, value]) => name !== 'request' && value !== undefined)
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(separator);
}
