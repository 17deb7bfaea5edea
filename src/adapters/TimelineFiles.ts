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

/** Events of one timeline file, and the number of lines that were skipped as incomplete or malformed. */
export interface IDecodedTimeline {
  events: ITimelineEvent[];
  skippedLineCount: number;
}

/**
 * Decodes a timeline file of JSON lines. A host that is killed during a write leaves an incomplete line,
 * which is skipped.
 */
export function decodeTimelineText(text: string): IDecodedTimeline {
  const events: ITimelineEvent[] = [];
  let skippedLineCount = 0;
  for (const line of text.split('\n')) {
    if (line.trim() === '') continue;
    const event = decodeLine(line);
    if (event) events.push(event);
    else skippedLineCount += 1;
  }
  return { events, skippedLineCount };
}

function decodeLine(line: string): ITimelineEvent | undefined {
  try {
    return EVENT_SCHEMA.safeParse(JSON.parse(line)).data;
  } catch {
    return undefined;
  }
}
