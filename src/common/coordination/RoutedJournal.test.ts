import test from 'ava';
import { Result } from 'true-myth';
import { ManualClock } from '../../testing/ManualClock.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import { createRoutedJournal, type SendAppend } from './RoutedJournal.js';
import type { AppendOutcome, JournalEntry, JournalError } from './Types.js';

const CLAIM: JournalEntry = { kind: 'claim', key: '00000000', request: 'r-1', atMs: 0 };
const COMMITTED: Result<readonly AppendOutcome[], JournalError> = Result.ok([{ kind: 'committed' }]);

type Script = Record<string, Result<readonly AppendOutcome[], JournalError>[]>;

/** Runs one append. Owners answer as the script says, and each refresh of the owner names the next one. */
async function runAppend(script: Script, owners: (string | undefined)[]): Promise<unknown> {
  const clock = new ManualClock();
  const board = new Blackboard();
  const calls: string[] = [];
  const setOwner = (owner: string | undefined): void => {
    board.partitions.set(0, { partition: 0, phase: 'unowned', owner, epoch: 0, nextSequence: 0 });
  };
  setOwner(owners.shift());
  const refreshOwner = (): Promise<boolean> => {
    const owner = owners.shift();
    if (owner !== 'store-down') setOwner(owner);
    return Promise.resolve(owner !== 'store-down');
  };
  const sendAppend: SendAppend = (host) => {
    calls.push(`${host} at ${clock.now()}`);
    return Promise.resolve(script[host]?.shift() ?? Result.err({ kind: 'not-owner', message: 'no' }));
  };
  const journal = createRoutedJournal({
    board,
    clock,
    host: 'host-1',
    partitions: 1,
    findLog: () => undefined,
    refreshOwner,
    sendAppend,
    sendLookup: () => Promise.resolve(Result.ok(undefined)),
    timeoutMs: 1000,
  });
  const result = journal.append(CLAIM.key, [CLAIM]);
  await clock.advance(2000);
  return { calls, result: await result };
}

const UNKNOWN: JournalError = { kind: 'unknown-outcome', message: 'lost' };

// Guards against an append that fails or reports a wrong outcome while its partition changes owners.
test('an append follows its partition to the next owner', async (t) => {
  t.snapshot(await runAppend({ 'host-3': [COMMITTED] }, ['host-2', undefined, 'host-3']));
});

test('an append with an unknown outcome is retried, and its outcome stays unknown if every retry fails', async (t) => {
  t.snapshot({
    repeated: await runAppend({ 'host-2': [Result.err(UNKNOWN), COMMITTED] }, ['host-2', 'host-2']),
    storeDown: await runAppend({ 'host-2': [Result.err(UNKNOWN)] }, ['host-2', 'store-down']),
    noOwner: await runAppend({}, []),
  });
});
