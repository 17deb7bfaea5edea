import test from 'ava';
import { parseDocumentText } from '../../adapters/ConfigStore.js';
import { createTestEndpoint } from '../../testing/EntryFixtures.js';
import { buildDocumentText } from '../../testing/HostGroup.js';
import { ManualClock } from '../../testing/ManualClock.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import type { IRequestEntry } from '../blackboard/Types.js';
import { EndpointIndex } from './EndpointIndex.js';
import { INITIAL_REQUEST_FIELDS } from './InitialFields.js';
import { RouteController } from './RouteController.js';

const REQUEST: IRequestEntry = {
  id: 'r-1',
  phase: 'queued',
  service: 'deposits',
  account: 'depot',
  kind: 'chat',
  isIdempotent: true,
  target: {
    kind: 'model',
    model: 'auto',
    body: {},
    promptTokens: 4,
    maxTokens: 8,
    isStreaming: false,
    prefixHashes: [],
  },
  idempotencyKey: undefined,
  fingerprint: 'f',
  session: undefined,
  priority: 'normal',
  receivedAt: 0,
  deadlineAt: 60_000,
  ...INITIAL_REQUEST_FIELDS,
  version: 'small-1',
};
const ENDPOINT = createTestEndpoint('engine-1', {
  service: 'deposits',
  address: 'http://10.0.0.1:80',
  zone: 'zone-a',
});

function setDocument(board: Blackboard, revision: number, stage: string): void {
  const account = `\n[account depot]\nkey_sha256 = ${'0'.repeat(64)}\nversions = small-1\n`;
  const parsed = parseDocumentText(buildDocumentText(revision, stage) + account);
  if (parsed.isErr) throw new Error(JSON.stringify(parsed.error));
  board.services.set('deposits', { name: 'deposits', document: parsed.value, revision, rollouts: {} });
}

// Guards against starting an attempt on a withdrawn version for a request that was queued before the version
// was withdrawn, or that was queued again afterwards.
test('a queued request is moved back to claimed when its version is withdrawn, also when it is queued again', (t) => {
  const board = new Blackboard();
  let hasFreeSlot = false;
  new RouteController({
    board,
    clock: new ManualClock(),
    zone: 'zone-a',
    index: new EndpointIndex({
      board,
      host: 'host-1',
      zone: 'zone-a',
      hashTexts: (...texts) => texts.join(),
    }),
    chooseEndpoint: () => (hasFreeSlot ? 'engine-1' : undefined),
    createId: () => 'a-1',
  });
  const describe = (): unknown => {
    const { phase, version } = board.requests.get('r-1')!;
    return { phase, version, attempts: board.attempts.size };
  };
  setDocument(board, 1, 'stable');
  board.endpoints.set('engine-1', ENDPOINT);
  board.requests.set('r-1', REQUEST);
  const waiting = describe();
  setDocument(board, 2, 'withdrawn');
  const withdrawn = describe();
  hasFreeSlot = true;
  board.requests.set('r-1', REQUEST);
  const queuedAgain = describe();
  setDocument(board, 3, 'stable');
  board.requests.set('r-1', REQUEST);
  t.snapshot({ waiting, withdrawn, queuedAgain, stableAgain: describe() });
});
