import test from 'ava';
import { Result } from 'true-myth';
import { createTestEndpoint, createTestRequest } from '../../testing/Entries.js';
import { ManualClock } from '../../testing/ManualClock.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import { planAttempt } from '../request/AttemptPlan.js';
import type { RunCheck } from '../request/Types.js';
import { CrashSuspectController } from './CrashSuspectController.js';
import type { ICrashReport, IFactStore } from './Types.js';

interface IFleet {
  boards: Blackboard[];
  clock: ManualClock;
  /** Breaks the connection of a request at an endpoint. */
  failRequest: (host: number, fingerprint: string, endpoint: string) => Promise<void>;
}

/** Two hosts over one store; `check` is what endpoints say after a broken connection. */
function createFleet(check: RunCheck): IFleet {
  const clock = new ManualClock();
  const boards = [new Blackboard(), new Blackboard()];
  let revision = 0;
  const writeCrashes: IFactStore['writeCrashes'] = (host, reports: readonly ICrashReport[]) => {
    revision += 1;
    const fact = { kind: 'crash-reports' as const, reports };
    for (const board of boards) board.facts.set(host, { key: host, revision, fact });
    return Promise.resolve(Result.ok(revision));
  };
  for (const [index, board] of boards.entries()) {
    for (const id of ['e-1', 'e-2', 'e-3']) board.endpoints.set(id, createTestEndpoint(id));
    const checkRun = (): Promise<RunCheck> => Promise.resolve(check);
    new CrashSuspectController({ board, clock, self: `host-${index}`, store: { writeCrashes }, checkRun });
  }
  let count = 0;
  const failRequest: IFleet['failRequest'] = async (host, fingerprint, endpoint) => {
    const board = boards[host]!;
    count += 1;
    const id = `r-${count}`;
    const request = createTestRequest(id, { fingerprint });
    board.requests.set(id, request);
    planAttempt(board, {
      id,
      role: 'primary',
      request,
      endpoint,
      expectedTokens: 1,
      length: 'short',
      now: 0,
    });
    const error = { kind: 'crashed' as const, ran: 'unknown' as const, message: 'reset' };
    board.attempts.update(id, { phase: 'failed', error });
    await clock.advance(10);
  };
  return { boards, clock, failRequest };
}

function listStates({ boards }: IFleet, fingerprint: string): (string | undefined)[] {
  return boards.map((board) => board.suspects.get(fingerprint)?.state);
}

// Guards against a request that crashes one endpoint after another because each host sees it once.
test('a request that was in flight at three crashes is blocked on all hosts', async (t) => {
  const fleet = createFleet('unreachable');
  await fleet.failRequest(0, 'poison', 'e-1');
  await fleet.failRequest(1, 'poison', 'e-2');
  const afterSecond = listStates(fleet, 'poison');
  await fleet.failRequest(0, 'poison', 'e-3');
  await fleet.failRequest(0, 'other', 'e-3');
  t.snapshot({ afterSecond, afterThird: listStates(fleet, 'poison'), other: listStates(fleet, 'other') });
});

// Guards against a block for one crash that two hosts saw, or for connections that broke by themselves.
test('one crash counts once, and a broken connection to a live endpoint does not count', async (t) => {
  const fleet = createFleet('unreachable');
  await fleet.failRequest(0, 'request', 'e-1');
  await fleet.failRequest(1, 'request', 'e-1');
  t.deepEqual(listStates(fleet, 'request'), ['suspected', 'suspected']);
  const alive = createFleet('unknown');
  for (const endpoint of ['e-1', 'e-2', 'e-3']) await alive.failRequest(0, 'request', endpoint);
  t.deepEqual(listStates(alive, 'request'), [undefined, undefined]);
});

// Guards against a block that outlives its evidence.
test('a block ends when its crashes are long past', async (t) => {
  const fleet = createFleet('unreachable');
  await fleet.failRequest(0, 'poison', 'e-1');
  await fleet.failRequest(0, 'poison', 'e-2');
  await fleet.failRequest(0, 'poison', 'e-3');
  await fleet.clock.advance(121_000);
  await fleet.failRequest(0, 'other', 'e-3');
  t.is(fleet.boards[0]!.suspects.get('poison'), undefined);
});
