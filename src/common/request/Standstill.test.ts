import test from 'ava';
import { createTestEndpoint } from '../../testing/EntryFixtures.js';
import { ManualClock } from '../../testing/ManualClock.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import { createMayStandStill } from './Standstill.js';

// Guards against waiting for a connection or a link that is lost as for an endpoint that stands still.
test('an endpoint may stand still unless it has answered of late or the link to it is in doubt', async (t) => {
  const clock = new ManualClock();
  const board = new Blackboard();
  let isVerdictSound = true;
  const mayStandStill = createMayStandStill({ board, clock, isVerdictSound: () => isVerdictSound });
  board.endpoints.set('e-1', createTestEndpoint('e-1', {}));
  const beforeAnswers = mayStandStill('e-1');
  board.endpoints.update('e-1', { answeredAt: clock.now() });
  const afterAnswer = mayStandStill('e-1');
  await clock.advance(300);
  const later = mayStandStill('e-1');
  isVerdictSound = false;
  t.snapshot({
    beforeAnswers,
    afterAnswer,
    later,
    linkInDoubt: mayStandStill('e-1'),
    gone: mayStandStill('e-2'),
  });
});
