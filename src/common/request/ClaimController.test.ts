import test from 'ava';
import { Result } from 'true-myth';
import { settlePromises } from '../../testing/ManualClock.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import type { IRequestEntry } from '../blackboard/Types.js';
import type { JournalEntry, JournalError } from '../coordination/Types.js';
import { ClaimController } from './ClaimController.js';
import { INITIAL_REQUEST_FIELDS } from './InitialFields.js';

const DAY_MS = 86_400_000;
/** UUIDv7 of 2025-10-20. */
const UUID_V7 = '019a0000-0000-7abc-8def-0123456789ab';
const UUID_V7_MS = 0x019a00000000;

function createRequest(idempotencyKey: string): IRequestEntry {
  return {
    id: 'r-1',
    phase: 'admitted',
    service: 's',
    account: 'a-1',
    kind: 'refund',
    target: {
      kind: 'plain',
      plainService: 'ledger',
      method: 'POST',
      path: '/',
      contentType: '',
      body: undefined,
    },
    isIdempotent: false,
    idempotencyKey,
    fingerprint: 'f',
    session: undefined,
    priority: 'normal',
    receivedAt: 0,
    deadlineAt: 1000,
    ...INITIAL_REQUEST_FIELDS,
  };
}

async function runClaim(key: string, now: number, error: JournalError): Promise<unknown> {
  const board = new Blackboard();
  const appended: string[] = [];
  const held: JournalEntry[] = [];
  const controller = new ClaimController({
    board,
    journal: {
      append: (_key, entries) => {
        appended.push(...entries.map((entry) => entry.kind));
        return Promise.resolve(Result.err(error));
      },
      lookup: () => Promise.resolve(Result.err(error)),
    },
    readWallClock: () => now,
    hashKey: () => 'k',
    holdEntries: (_key, entries) => {
      held.push(...entries);
      return Promise.resolve();
    },
    retentionMs: 7 * DAY_MS,
  });
  board.requests.set('r-1', createRequest(key));
  await settlePromises();
  controller.dispose();
  const { phase, refusal } = board.requests.get('r-1')!;
  return { appended, held, phase, refusal };
}

// Guards against two faults. If an outage leaves a claim in the journal, every repeat is refused although
// nothing ran. If a request whose key is older than the retention were accepted, it could run a second time.
test('a claim with an unknown outcome is released, and a key older than the retention is refused', async (t) => {
  const unknown: JournalError = { kind: 'unknown-outcome', message: 'lost' };
  t.snapshot({
    unknown: await runClaim('refund-1', 0, unknown),
    forgotten: await runClaim(UUID_V7, UUID_V7_MS + 7 * DAY_MS + 1, unknown),
  });
});
