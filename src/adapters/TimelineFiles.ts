import * as z from 'zod';
import type { ITimelineEvent } from '../common/timeline/Types.js';

const EVENT_SCHEMA = z.object({
  host: z.string(),
  lamport: z.number().int(),
  sequence: z.number().int(),
  at: z.string(),
  kind: z.string(),
  fields: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
});

/** Events of one file, and how many lines were no complete event. */
export interface ITimelineText {
  events: ITimelineEvent[];
  tornLines: number;
}

/** Decodes JSON lines. A host that is killed while it writes leaves a torn line, which is skipped. */
export function decodeTimelineText(text: string): ITimelineText {
  const events: ITimelineEvent[] = [];
  let tornLines = 0;
  for (const line of text.split('\n')) {
    if (line.trim() === '') continue;
    const event = decodeLine(line);
    if (event) events.push(event);
    else tornLines += 1;
  }
  return { events, tornLines };
}

function decodeLine(line: string): ITimelineEvent | undefined {
  try {
    return EVENT_SCHEMA.safeParse(JSON.parse(line)).data;
  } catch {
    return undefined;
  }
}
