import test from 'ava';
import { createTestEndpoint } from '../../testing/EntryFixtures.js';
import { classifyStreamEnds, findStreamEndPatch } from './DoubtfulEnds.js';
import type { EndMark } from './Types.js';

/** Streams that have begun at each endpoint of a service, by what is to mark their ends. */
const STREAMS: readonly (readonly (readonly EndMark[])[])[] = [
  [],
  [[]],
  [['connection'], ['connection']],
  [['connection', 'connection', 'connection'], []],
  [['connection', 'connection', 'connection']],
  [['connection', 'connection'], ['connection']],
  [['connection', 'connection', 'connection'], ['connection'], ['chunks']],
  [['connection', 'connection', 'connection', 'connection', 'length']],
  [['chunks', 'connection', 'connection', 'connection']],
];

// Guards against ORDER after a start: a host that has seen no mark yet takes that for an answer.
test('a service counts as one that marks no ends only after some streams of several endpoints', (t) => {
  const forms = STREAMS.map((service) => {
    const endpoints = service.map((streams, index) => {
      let endpoint = createTestEndpoint(`m-${index}`);
      for (const endMark of streams) endpoint = { ...endpoint, ...findStreamEndPatch(endpoint, endMark) };
      return endpoint;
    });
    return `${JSON.stringify(service)}: ${classifyStreamEnds(endpoints)}`;
  });
  t.snapshot(forms);
});
