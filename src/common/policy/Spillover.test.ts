import test from 'ava';
import { createTestRequest, createTestService, TEST_TARGET } from '../../testing/EntryFixtures.js';
import type { IRequestEntry } from '../blackboard/Types.js';
import { chooseSpilloverByTarget } from './Spillover.js';

test('only a request without a fixed version moves, to the cheapest version with room that meets the target', (t) => {
  const service = createTestService();
  const choose = (patch: Partial<IRequestEntry>, versionsWithRoom: readonly string[]): unknown =>
    chooseSpilloverByTarget({
      request: createTestRequest('r', patch),
      service,
      hasRoom: (version) => versionsWithRoom.includes(version),
    });
  t.snapshot({
    cheapestWithRoom: choose({}, ['large-1', 'huge-1']),
    onlyTheDearest: choose({}, ['huge-1']),
    noRoom: choose({}, []),
    belowTarget: choose({ version: 'large-1' }, ['small-1']),
    session: choose({ session: 's' }, ['large-1']),
    namedModel: choose({ target: { ...TEST_TARGET, model: 'small-1' } }, ['large-1']),
    mayHaveRun: choose({ ran: 'unknown' }, ['large-1']),
  });
});
