import { createUniqueId, hashTexts } from '../../src/adapters/Random.js';
import { systemClock } from '../../src/adapters/SystemClock.js';
import { parseDocumentText } from '../../src/adapters/ConfigStore.js';
import { Blackboard } from '../../src/common/blackboard/Blackboard.js';
import type { IRequestEntry } from '../../src/common/blackboard/Types.js';
import { disposeAll } from '../../src/common/Lifecycle.js';
import { chooseCheapestExpected } from '../../src/common/policy/Versions.js';
import { VersionController } from '../../src/common/request/VersionController.js';
import { RoutingWiring } from '../../src/daemons/RoutingWiring.js';
import { createTestEndpoint, createTestRequest, TEST_TARGET } from '../../src/testing/EntryFixtures.js';
import { BENCH_SERVICE, formatDocument } from '../Documents.js';
import type { IPoint } from './Types.js';

const VERSION = 'small-1';
const REQUESTS = 2000;
const WARM_UP_REQUESTS = 500;

/**
 * Measures the processor time per request for the choice of a version and an endpoint. Runs only the
 * controllers, without a daemon, because no fleet with as many endpoints could be started.
 */
export function measureControllers(endpoints: number): IPoint {
  const board = new Blackboard();
  const journal = {
    append: () => Promise.reject(new Error('The benchmark does not append to the journal.')),
    lookup: () => Promise.reject(new Error('The benchmark does not read the journal.')),
  };
  const common = { board, clock: systemClock, journal, readWallClock: Date.now };
  const routing = new RoutingWiring({
    ...common,
    random: Math.random,
    createId: createUniqueId,
    hashTexts,
    host: 'host-1',
    zone: 'zone-0',
  });
  const hasVersion = (version: string): boolean => routing.index.hasVersion(version);
  const chooseVersion = chooseCheapestExpected;
  const controllers = [
    routing,
    new VersionController({ ...common, chooseVersion, hashSession: () => '', hasVersion }),
  ];
  prepareBoard(board, endpoints);
  runRequests(board, WARM_UP_REQUESTS);
  const before = process.cpuUsage();
  runRequests(board, REQUESTS);
  const { system, user } = process.cpuUsage(before);
  disposeAll(controllers);
  return { x: endpoints, cpuMs: (system + user) / 1000 / REQUESTS };
}

function prepareBoard(board: Blackboard, endpoints: number): void {
  const text = formatDocument({
    versions: [{ name: VERSION, model: 'small', price: 1, quality: 0.95 }],
    accounts: 10,
    plainService: 'ledger',
  });
  const document = parseDocumentText(text);
  if (document.isErr) throw new Error('The service document of the benchmark is not valid.');
  board.services.set(BENCH_SERVICE, {
    name: BENCH_SERVICE,
    document: document.value,
    revision: 1,
    rollouts: {},
  });
  for (let index = 0; index < endpoints; index += 1) {
    board.endpoints.set(`engine-${index}`, createTestEndpoint(`engine-${index}`, { zone: 'zone-0' }));
  }
}

function runRequests(board: Blackboard, count: number): void {
  for (let index = 0; index < count; index += 1) {
    const request = createRequest();
    board.requests.set(request.id, request);
    board.requests.update(request.id, { phase: 'claimed' });
    for (const attempt of [...board.attempts.list()]) {
      board.endpoints.update(attempt.endpoint, { inFlight: 0 });
      board.attempts.delete(attempt.id);
    }
    board.requests.delete(request.id);
  }
}

function createRequest(): IRequestEntry {
  const now = systemClock.now();
  const target = { ...TEST_TARGET, isStreaming: true, promptTokens: 100, maxTokens: 64 };
  return createTestRequest(createUniqueId(), {
    phase: 'admitted',
    service: BENCH_SERVICE,
    account: 'account-0',
    kind: 'default',
    target,
    receivedAt: now,
    deadlineAt: now + 60_000,
    version: undefined,
  });
}
