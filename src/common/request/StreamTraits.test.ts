import test from 'ava';
import { createTestEndpoint } from '../../testing/EntryFixtures.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import type { IEndpointEntry } from '../blackboard/Types.js';
import {
  findEventStepsPatch,
  findServiceEventSteps,
  findStreamEndForm,
  findStreamEndPatch,
} from './StreamTraits.js';
import type { EndMark, EventSteps } from './Types.js';

/** Streams at each endpoint of a service: whether each has a trait (`+`) or lacks it (`-`). */
const SERVICES: readonly (readonly string[])[] = [
  [''],
  ['-', '-'],
  ['---', ''],
  ['---'],
  ['--', '-'],
  ['---', '-', '+'],
  ['----+'],
  ['+---'],
  ['-------', ''],
  ['--------', ''],
];

/** Puts the endpoints of a service on a board, and one of another service whose streams have all traits. */
function createBoard(
  service: readonly string[],
  findPatch: (endpoint: IEndpointEntry, hasTrait: boolean) => Partial<IEndpointEntry> | undefined,
): Blackboard {
  const board = new Blackboard();
  const entries = service.map((streams, index) => {
    let endpoint = createTestEndpoint(`m-${index}`);
    for (const stream of streams) endpoint = { ...endpoint, ...findPatch(endpoint, stream === '+') };
    return endpoint;
  });
  const other = createTestEndpoint('o-1', { service: 'other', marksStreamEnds: true, hasSingleSteps: true });
  for (const endpoint of [...entries, other]) board.endpoints.set(endpoint.id, endpoint);
  return board;
}

// Guards against ORDER after a start: a host that has not seen a trait yet concludes that streams lack it.
test('streams of a service lack a trait only after some of several endpoints have, and none had it', (t) => {
  const results = SERVICES.map((service) => {
    const ends = createBoard(service, (endpoint, hasTrait) => {
      const endMark: EndMark = hasTrait ? 'chunks' : 'connection';
      return findStreamEndPatch(endpoint, endMark);
    });
    const steps = createBoard(service, (endpoint, hasTrait) => {
      const eventSteps: EventSteps = hasTrait ? 'single' : 'free';
      return findEventStepsPatch(endpoint, eventSteps);
    });
    const found = `${findStreamEndForm(ends, 'm-0')}, ${findServiceEventSteps(steps, 'm-0')}`;
    return `${JSON.stringify(service)}: ${found}`;
  });
  t.snapshot(results);
});
