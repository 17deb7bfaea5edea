import test from 'ava';
import { Result } from 'true-myth';
import { createTestEndpoint, createTestRequest } from '../../testing/EntryFixtures.js';
import { ManualClock } from '../../testing/ManualClock.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import { planAttempt } from '../request/AttemptPlan.js';
import type { RunCheckResult } from '../request/Types.js';
import { CrashDetector } from './CrashDetector.js';
import { CrashSuspectController } from './CrashSuspectController.js';
import type { ICrashReport, IFactStore } from './Types.js';

/** Time within which the other hosts know what a host has detected. */
const PUBLISH_INTERVAL_MS = 250;

interface IFleet {
  boards: Blackboard[];
  store: { isDown: boolean };
  clock: ManualClock;
  /** Reports that each host has written, in the order of its writes. */
  written: Map<string, (readonly ICrashReport[])[]>;
  /** Makes an attempt of a request fail because the connection to the endpoint broke. */
  failRequest: (host: number, fingerprint: string, endpoint: string) => Promise<void>;
}

/**
 * Creates two hosts that share a store. Every check of an endpoint after a broken connection gives
 * `checkResult`.
 */
function createFleet(checkResult: RunCheckResult): IFleet {
  const clock = new ManualClock();
  const boards = [new Blackboard(), new Blackboard()];
  const store = { isDown: false };
  const written: IFleet['written'] = new Map();
  let revision = 0;
  const writeCrashReports: IFactStore['writeCrashReports'] = (host, reports: readonly ICrashReport[]) => {
    if (store.isDown) return Promise.resolve(Result.err({ kind: 'unavailable', message: 'down' }));
    revision += 1;
    written.set(host, [...(written.get(host) ?? []), reports]);
    const fact = { kind: 'crash-reports' as const, host, reports };
    for (const board of boards) board.facts.set(host, { key: host, revision, fact });
    return Promise.resolve(Result.ok(revision));
  };
  for (const [index, board] of boards.entries()) {
    for (const id of ['e-1', 'e-2', 'e-3']) board.endpoints.set(id, createTestEndpoint(id));
    const checkRun = (): Promise<RunCheckResult> => Promise.resolve(checkResult);
    const { onCrash } = new CrashDetector({ board, clock, checkRun });
    new CrashSuspectController({
      board,
      clock,
      host: `host-${index}`,
      store: { writeCrashReports },
      onCrash,
    });
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
      lengthClass: 'short',
      now: 0,
    });
    const error = { kind: 'crashed' as const, ran: 'unknown' as const, message: 'reset' };
    board.attempts.update(id, { phase: 'failed', error });
    await clock.advance(10);
  };
  return { boards, store, clock, written, failRequest };
}

function listStates({ boards }: IFleet, fingerprint: string): (string | undefined)[] {
  return boards.map((board) => board.crashSuspects.get(fingerprint)?.state);
}

// Guards against a request that crashes one endpoint after another because each host counts only the crashes
// that it detected itself.
test('a request that was in flight at three crashes is blocked on all hosts', async (t) => {
  const fleet = createFleet('unreachable');
  await fleet.failRequest(0, 'poison', 'e-1');
  await fleet.failRequest(1, 'poison', 'e-2');
  const afterSecond = listStates(fleet, 'poison');
  await fleet.failRequest(0, 'poison', 'e-3');
  await fleet.failRequest(0, 'other', 'e-3');
  await fleet.clock.advance(PUBLISH_INTERVAL_MS);
  t.snapshot({ afterSecond, afterThird: listStates(fleet, 'poison'), other: listStates(fleet, 'other') });
});

// Guards against blocking a request because two hosts reported the same crash, or because connections broke
// although the endpoint did not crash.
test('a crash that two hosts report counts once, and a broken connection alone is no crash', async (t) => {
  const fleet = createFleet('unreachable');
  await fleet.failRequest(0, 'request', 'e-1');
  await fleet.failRequest(1, 'request', 'e-1');
  t.deepEqual(listStates(fleet, 'request'), ['suspected', 'suspected']);
  const reachable = createFleet('unknown');
  for (const endpoint of ['e-1', 'e-2', 'e-3']) await reachable.failRequest(0, 'request', endpoint);
  t.deepEqual(listStates(reachable, 'request'), [undefined, undefined]);
});

// Guards against a request that stays blocked after all of its crashes have expired.
test('a request is no longer blocked once its crashes have expired', async (t) => {
  const fleet = createFleet('unreachable');
  await fleet.failRequest(0, 'poison', 'e-1');
  await fleet.failRequest(0, 'poison', 'e-2');
  await fleet.failRequest(0, 'poison', 'e-3');
  await fleet.clock.advance(121_000);
  await fleet.failRequest(0, 'other', 'e-3');
  t.is(fleet.boards[0]!.crashSuspects.get('poison'), undefined);
});

// Guards against a request that crashes more endpoints because the reports were lost while the store was away.
test('crashes that happened while the store was away are known to all hosts once it is back', async (t) => {
  const fleet = createFleet('unreachable');
  fleet.store.isDown = true;
  await fleet.failRequest(0, 'poison', 'e-1');
  await fleet.failRequest(1, 'poison', 'e-2');
  await fleet.failRequest(1, 'poison', 'e-3');
  fleet.store.isDown = false;
  await fleet.clock.advance(1000);
  t.deepEqual(listStates(fleet, 'poison'), ['blocked', 'blocked']);
});

// Guards against CONFIG: after a mass crash the hosts pass each other's reports on, so that the store's news grow with
// the square of the number of hosts and keep the configuration from them.
test('a host publishes only the crashes that it detected itself', async (t) => {
  const fleet = createFleet('unreachable');
  await fleet.failRequest(0, 'first', 'e-1');
  await fleet.failRequest(1, 'second', 'e-2');
  await fleet.failRequest(0, 'third', 'e-3');
  await fleet.clock.advance(1000);
  const published = [...fleet.written].map(([host, writes]) => [
    host,
    writes.at(-1)?.map(({ fingerprint }) => fingerprint),
  ]);
  t.deepEqual(Object.fromEntries(published), { 'host-0': ['first', 'third'], 'host-1': ['second'] });
});

// Guards against CONFIG: a host that sees many crashes at once writes its growing list for each of them.
test('crashes in a short time are published in few writes', async (t) => {
  const fleet = createFleet('unreachable');
  for (let index = 0; index < 20; index += 1)
    await fleet.failRequest(0, `request-${index}`, `e-${1 + (index % 3)}`);
  await fleet.clock.advance(1000);
  const writes = fleet.written.get('host-0') ?? [];
  t.is(writes.at(-1)?.length, 20);
  t.true(writes.length <= 3, `${writes.length} writes`);
});
