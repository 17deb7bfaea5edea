import test from 'ava';
import { ManualClock } from '../../testing/ManualClock.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import { DrainController } from './DrainController.js';
import { MembershipController } from './MembershipController.js';

// Guards against a drain that stops accepting requests during the grace time, or that ends before open
// streams do.
test('a drain goes through its phases in order, even when a step fails', async (t) => {
  const clock = new ManualClock();
  const board = new Blackboard();
  const events: string[] = [];
  const record = (event: string): void => {
    events.push(`${clock.now()} ${event}`);
  };
  const own = { id: 'host-1', address: '10.0.0.1:1', zone: 'zone-a', incarnation: 7 };
  new MembershipController({ board, clock, own });
  board.lifecycle.onChange(({ after }) => {
    record(`phase ${String(after?.phase)}`);
  });
  board.hosts.onChange(({ after }) => {
    record(`told ${String(after?.state)} ${String(after?.incarnation)}`);
  });
  const drain = new DrainController({
    board,
    clock,
    closeFrontEnd: () =>
      new Promise((resolve) => {
        record('front end closes');
        clock.schedule(10_000, resolve);
      }),
    finishSteps: [
      () => Promise.reject(new Error('The store is down.')),
      () => {
        record('last step');
        return Promise.resolve();
      },
    ],
    onStepError: (error) => {
      record(String(error));
    },
  });
  void drain.drain();
  void drain.drain();
  await clock.advance(20_000);
  t.snapshot(events);
});
