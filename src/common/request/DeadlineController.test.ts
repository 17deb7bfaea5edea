import test from 'ava';
import { createTestRequest } from '../../testing/EntryFixtures.js';
import { ManualClock } from '../../testing/ManualClock.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import { DeadlineController } from './DeadlineController.js';

// If a running non-idempotent request were ended at its deadline, its outcome would not be recorded for a
// repeat.
test('a running non-idempotent request continues after its deadline, with an early refusal of unknown outcome', async (t) => {
  const board = new Blackboard();
  const clock = new ManualClock();
  const controller = new DeadlineController({ board, clock });
  const running = { phase: 'running', deadlineAt: 100 } as const;
  board.requests.set('refund', createTestRequest('refund', { ...running, isIdempotent: false }));
  board.requests.set('lookup', createTestRequest('lookup', running));
  board.requests.set(
    'queued',
    createTestRequest('queued', { ...running, phase: 'queued', isIdempotent: false }),
  );
  board.requests.set('gone', createTestRequest('gone', { ...running, isIdempotent: false }));
  board.requests.update('gone', { isCallerGone: true });
  await clock.advance(100);
  controller.dispose();
  const states = [...board.requests.list()].map(({ id, phase, refusal, earlyRefusal }) => ({
    id,
    phase,
    refused: refusal?.ran,
    toldEarly: earlyRefusal?.ran,
  }));
  t.snapshot(states);
});

// Guards against places at endpoints that are held for good, because the answer to a request that runs once is lost.
test('a non-idempotent request is given up some time after its deadline, unless its answer has come', async (t) => {
  const board = new Blackboard();
  const clock = new ManualClock();
  const controller = new DeadlineController({ board, clock, overdueLimitMs: 50 });
  const running = { phase: 'running', deadlineAt: 100, isIdempotent: false } as const;
  for (const id of ['lost', 'answered', 'gone']) board.requests.set(id, createTestRequest(id, running));
  board.requests.update('gone', { isCallerGone: true });
  await clock.advance(120);
  board.requests.update('answered', { phase: 'answered' });
  const listStates = (): string[] => [...board.requests.list()].map(({ id, phase }) => `${id} ${phase}`);
  const before = listStates();
  await clock.advance(40);
  controller.dispose();
  t.snapshot({ before, after: listStates() });
});
