import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IEndpointEntry } from '../blackboard/Types.js';
import {
  classifyTraitCounts,
  MAX_LACKING_ANSWERS,
  type ITraitCounts,
  type TraitState,
} from './TraitCounts.js';
import type { EndMark, EventSteps, EndForm } from './Types.js';

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
  return unmarkedStreams < MAX_LACKING_ANSWERS ? { unmarkedStreams: unmarkedStreams + 1 } : undefined;
}

/**
 * Tells whether a change of an endpoint's entry may change what is known of how its service ends streams.
 * @example
 * board.endpoints.onChange(({ before, after }) => hasNewStreamEnds(before, after));
 */
export function hasNewStreamEnds(
  before: Readonly<IEndpointEntry> | undefined,
  after: Readonly<IEndpointEntry> | undefined,
): boolean {
  return (
    after?.marksStreamEnds !== before?.marksStreamEnds || after?.unmarkedStreams !== before?.unmarkedStreams
  );
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
  return unevenStreams < MAX_LACKING_ANSWERS ? { unevenStreams: unevenStreams + 1 } : undefined;
}

/**
 * Finds how the endpoints of the service of an endpoint end their streams.
 * @example
 * findStreamEndForm(board, attempt.endpoint); // 'unknown' shortly after a start
 */
export function findStreamEndForm(board: Blackboard, endpoint: string): EndForm {
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

function classifyTrait(
  { endpoints }: Blackboard,
  endpoint: string,
  readCounts: (entry: Readonly<IEndpointEntry>) => ITraitCounts,
): TraitState {
  const service = endpoints.get(endpoint)?.service;
  const mates = [...endpoints.list()].filter((entry) => entry.service === service);
  return classifyTraitCounts(mates.map(readCounts), mates.length);
}
