/** Fields of a time line event. Keys, prompts and answers are never recorded. */
export type TimelineFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** One event of the time line. */
export interface ITimelineEvent {
  /** Host that recorded the event. */
  host: string;
  /** Lamport time: an event that another one caused has a higher number. */
  lamport: number;
  /** Position among the events of the host. */
  sequence: number;
  /** Wall-clock time for people, ISO 8601; never used for ordering. */
  at: string;
  kind: string;
  fields: TimelineFields;
}
