import test from 'ava';
import fc from 'fast-check';
import { hashRequestPoint } from '../../daemons/VersionsWiring.js';
import { createTestEndpoint } from '../../testing/EntryFixtures.js';
import { ManualClock } from '../../testing/ManualClock.js';
import {
  buildTestDocument,
  buildTestRequest,
  buildTestService,
  buildTestRolloutState,
  createPinJournal,
} from '../../testing/VersionFixtures.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import type { VersionStage } from '../config/Types.js';
import { createChooseByLearnedQuality } from '../policy/Plans.js';
import type { IJournal } from '../coordination/Types.js';
import { VersionController } from './VersionController.js';

const SEED = Number(process.env.FAST_CHECK_SEED ?? 20261204);
const NAMES = ['small-1', 'small-2', 'large-1'];

function createHost(clock: ManualClock, journal: IJournal): Blackboard {
  const board = new Blackboard();
  const chooseVersion = createChooseByLearnedQuality({
    readQuality: () => undefined,
    isCheckAvailable: () => true,
  });
  const hashSession = (request: { session: string | undefined }): string => request.session ?? '';
  const hashToFraction = hashRequestPoint;
  const hasVersion = (version: string): boolean =>
    [...board.endpoints.list()].some((endpoint) => endpoint.versions.includes(version));
  const options = {
    board,
    clock,
    journal,
    chooseVersion,
    hashSession,
    hashToFraction,
    hasVersion,
  };
  new VersionController({ ...options, readWallClock: () => 0 });
  for (const name of NAMES) {
    const fields = { service: 'deposits', versions: [name] };
    board.endpoints.set(name, createTestEndpoint(name, fields));
  }
  return board;
}

// Guards against serving one session with two versions: whatever the stages and rollout shares become, the
// requests of a session run on one version or are refused.
test('a session never changes its version, at any host', async (t) => {
  const stage = fc.constantFrom<VersionStage>('rolling-out', 'stable', 'withdrawing', 'withdrawn');
  const step = fc.record({
    host: fc.integer({ min: 0, max: 1 }),
    session: fc.constantFrom('s-1', 's-2', 's-3'),
    stages: fc.tuple(stage, stage, stage),
    share: fc.double({ min: 0, max: 1, noNaN: true }),
    verdict: fc.constantFrom('ramping', 'halted', 'passed'),
  });
  const property = fc.asyncProperty(fc.array(step, { minLength: 2, maxLength: 20 }), async (steps) => {
    const clock = new ManualClock();
    const journal = createPinJournal();
    const hosts = [createHost(clock, journal), createHost(clock, journal)];
    const versions = new Map<string, string>();
    for (const [index, { host, session, share, stages, verdict }] of steps.entries()) {
      const board = hosts[host]!;
      const document = buildTestDocument(
        Object.fromEntries(NAMES.map((name, position) => [name, stages[position]!])),
      );
      const states = NAMES.map((name) => [name, buildTestRolloutState(name, { share, verdict })] as const);
      board.services.set('deposits', buildTestService(document, Object.fromEntries(states)));
      const id = `r-${index}`;
      board.requests.set(id, buildTestRequest({ id, session }));
      await clock.advance(1);
      const request = board.requests.get(id);
      if (request?.phase !== 'queued' || request.version === undefined) continue;
      if ((versions.get(session) ?? request.version) !== request.version) return false;
      if (request.plan && request.plan.steps.length > 1) return false;
      versions.set(session, request.version);
    }
    return true;
  });
  await t.notThrowsAsync(() => fc.assert(property, { seed: SEED, numRuns: 100 }));
});
