/** Fields of a timeline event. Keys, prompts and answers are never recorded. */
export type TimelineFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** One event of the timeline. */
export interface ITimelineEvent {
  /** Host that recorded the event. */
  host: string;
  /** Lamport time. It is higher than that of every event that may have caused this one. */
  lamport: number;
  /** Number of the event, counted from 1 since the start of the process. */
  sequence: number;
  /** Wall-clock time in ISO 8601 format, for human readers. Never used for ordering. */
  at: string;
  kind: string;
  fields: TimelineFields;
}
