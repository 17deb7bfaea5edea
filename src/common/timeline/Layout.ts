import type { ITimelineEvent } from './Types.js';

/** Step in the processing of a request that an event belongs to. */
export type TimelineStep = 'claim' | 'route' | 'endpoint' | 'hedge' | 'escalation' | 'bill' | 'other';

/** An event in the drawing of a timeline. */
export interface ITimelineMark {
  /** Index of the host's lane. */
  lane: number;
  /** Position along the lane. An event is always to the right of the events that caused it. */
  column: number;
  step: TimelineStep;
  /** Whether the event belongs to the highlighted request. */
  isHighlighted: boolean;
  event: ITimelineEvent;
}

/** Layout of a timeline drawing, without sizes or colours. */
export interface ITimelineLayout {
  /** Host of each lane. */
  lanes: readonly string[];
  /** Number of columns. */
  columnCount: number;
  marks: readonly ITimelineMark[];
  /** Id of the request whose events are highlighted. */
  request: string | undefined;
}

/** Lays out merged events, with a lane for each host and a column for each Lamport time that occurs. */
export function planLayout(events: readonly ITimelineEvent[], request?: string): ITimelineLayout {
  const lanes = [...new Set(events.map(({ host }) => host))].sort();
  const lamportTimes = [...new Set(events.map(({ lamport }) => lamport))].sort(
    (first, second) => first - second,
  );
  const columnByTime = new Map(lamportTimes.map((time, column) => [time, column]));
  const marks = events.map((event) => ({
    lane: lanes.indexOf(event.host),
    column: columnByTime.get(event.lamport) ?? 0,
    step: classifyStep(event),
    isHighlighted: request !== undefined && event.fields.request === request,
    event,
  }));
  return { lanes, columnCount: lamportTimes.length, marks, request };
}

/** Determines the step in the processing of a request that an event belongs to. */
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
