import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IEndpointEntry } from '../blackboard/Types.js';
import type { EndMark, EventSteps, StreamEndForm } from './Types.js';

/**
 * Number of streams that lack a trait, and of endpoints that sent them, from which on the streams of a service count as
 * lacking it by nature. Faulty endpoints spoil single answers.
 */
const MIN_LACKING_STREAMS = 3;
const MIN_LACKING_ENDPOINTS = 2;

/** What the streams of an endpoint have shown of a trait. */
interface ITraitCounts {
  /** Whether any stream had the trait. */
  isSeen: boolean;
  /** Number of streams that lacked it, counted up to a few. */
  lacking: number;
}

/** Whether the streams of a service have a trait. `unknown`: too few have been seen to tell. */
type TraitState = 'present' | 'lacking' | 'unknown';

/**
 * Finds what the head of a stream tells of how its endpoint ends streams; `undefined` if nothing new.
 * @example
 * findStreamEndPatch(endpoint, 'chunks'); // { marksStreamEnds: true } at the first such stream
 */
export function findStreamEndPatch(
  { marksStreamEnds = false, unmarkedStreams = 0 }: Readonly<IEndpointEntry>,
  endMark: EndMark,
): Partial<IEndpointEntry> | undefined {
  if (marksStreamEnds) return undefined;
  if (endMark !== 'connection') return { marksStreamEnds: true };
  return unmarkedStreams < MIN_LACKING_STREAMS ? { unmarkedStreams: unmarkedStreams + 1 } : undefined;
}

/**
 * Finds what a stream tells of how the ids of events rise at its endpoint; `undefined` if nothing new. `free` stands for
 * ids that have left out numbers.
 * @example
 * findEventStepsPatch(endpoint, 'single'); // { hasSingleSteps: true } at the first such stream
 */
export function findEventStepsPatch(
  { hasSingleSteps = false, unevenStreams = 0 }: Readonly<IEndpointEntry>,
  steps: EventSteps,
): Partial<IEndpointEntry> | undefined {
  if (hasSingleSteps || steps === 'unknown') return undefined;
  if (steps === 'single') return { hasSingleSteps: true };
  return unevenStreams < MIN_LACKING_STREAMS ? { unevenStreams: unevenStreams + 1 } : undefined;
}

/**
 * Finds how the endpoints of the service of an endpoint end their streams.
 * @example
 * findStreamEndForm(board, attempt.endpoint); // 'unknown' shortly after a start
 */
export function findStreamEndForm(board: Blackboard, endpoint: string): StreamEndForm {
  const state = classifyTrait(board, endpoint, ({ marksStreamEnds = false, unmarkedStreams = 0 }) => ({
    isSeen: marksStreamEnds,
    lacking: unmarkedStreams,
  }));
  return state === 'present' ? 'marked' : state === 'lacking' ? 'unmarked' : 'unknown';
}

/**
 * Finds how the ids of events rise at the endpoints of the service of an endpoint.
 * @example
 * findServiceEventSteps(board, attempt.endpoint); // 'single' once a stream has had the events 1 and 2
 */
export function findServiceEventSteps(board: Blackboard, endpoint: string): EventSteps {
  const state = classifyTrait(board, endpoint, ({ hasSingleSteps = false, unevenStreams = 0 }) => ({
    isSeen: hasSingleSteps,
    lacking: unevenStreams,
  }));
  return state === 'present' ? 'single' : state === 'lacking' ? 'free' : 'unknown';
}

/**
 * Classifies a trait of the streams of a service. A single stream that has it is enough, since what a fault does to a
 * stream takes such a trait away and gives it to none.
 */
function classifyTrait(
  { endpoints }: Blackboard,
  endpoint: string,
  readCounts: (entry: Readonly<IEndpointEntry>) => ITraitCounts,
): TraitState {
  const service = endpoints.get(endpoint)?.service;
  let streams = 0;
  let lackingEndpoints = 0;
  let endpointCount = 0;
  for (const entry of endpoints.list()) {
    if (entry.service !== service) continue;
    const { isSeen, lacking } = readCounts(entry);
    if (isSeen) return 'present';
    streams += lacking;
    endpointCount += 1;
    if (lacking > 0) lackingEndpoints += 1;
  }
  const hasEndpoints = lackingEndpoints >= Math.min(MIN_LACKING_ENDPOINTS, endpointCount);
  return streams >= MIN_LACKING_STREAMS && hasEndpoints ? 'lacking' : 'unknown';
}
