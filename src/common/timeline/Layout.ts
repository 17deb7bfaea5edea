import type { ITimelineEvent } from './Types.js';

/** Step of a request's way that an event shows. */
export type TimelineStep = 'claim' | 'route' | 'endpoint' | 'hedge' | 'escalation' | 'bill' | 'other';

/** A mark of the drawing. */
export interface ITimelineMark {
  /** Index of the host's lane. */
  lane: number;
  /** Position along the lane; events that one another caused never share a position. */
  column: number;
  step: TimelineStep;
  isHighlighted: boolean;
  event: ITimelineEvent;
}

/** Lanes and marks of a drawing, without sizes or colours. */
export interface ITimelineLayout {
  lanes: readonly string[];
  columns: number;
  marks: readonly ITimelineMark[];
  /** Request whose way is highlighted. */
  request: string | undefined;
}

/** Lays out merged events: a lane for each host, and a column for each Lamport time that occurs. */
export function planLayout(events: readonly ITimelineEvent[], request?: string): ITimelineLayout {
  const lanes = [...new Set(events.map(({ host }) => host))].sort();
  const times = [...new Set(events.map(({ lamport }) => lamport))].sort((first, second) => first - second);
  const columns = new Map(times.map((time, column) => [time, column]));
  const marks = events.map((event) => ({
    lane: lanes.indexOf(event.host),
    column: columns.get(event.lamport) ?? 0,
    step: classifyStep(event),
    isHighlighted: request !== undefined && event.fields.request === request,
    event,
  }));
  return { lanes, columns: times.length, marks, request };
}

/** Tells which step of a request's way an event shows. */
export function classifyStep({ fields, kind }: ITimelineEvent): TimelineStep {
  if (kind.startsWith('attempt.')) {
    if (fields.role === 'hedge') return 'hedge';
    return fields.role === 'escalation' ? 'escalation' : 'endpoint';
  }
  switch (kind) {
    case 'request.claimed':
      return 'claim';
    case 'request.queued':
    case 'request.running':
      return 'route';
    case 'request.billed':
      return 'bill';
    default:
      return 'other';
  }
}
