import test from 'ava';
import { createTestEndpoint, createTestRequest, TEST_TARGET } from '../../testing/EntryFixtures.js';
import type { IEndpointEntry } from '../blackboard/Types.js';
import type { IEndpointView } from '../request/Types.js';
import { createChooseByAffinity } from './Affinity.js';

type Patch = Partial<IEndpointEntry>;

const NOW = 20_000;

function createReport(load: number, ageMs: number, slowness = 1): Patch {
  const state = { running: load, waiting: 0, cacheUse: 0, versions: [], isLeaving: false };
  return { report: { ...state, slowness, receivedAt: NOW - ageMs } };
}

/** Creates a view of two healthy endpoints and a suspect one. Prompts with a shared prefix prefer `e-1`. */
function createView(
  first: Patch,
  second: Patch,
  prefixHashes: readonly string[] = ['p', 'own'],
): IEndpointView {
  return {
    request: createTestRequest('r', { target: { ...TEST_TARGET, prefixHashes } }),
    candidates: [
      createTestEndpoint('e-1', first),
      createTestEndpoint('e-2', second),
      createTestEndpoint('e-3', { health: 'suspect' }),
    ],
    lengthClass: 'short',
    findPrefix: () => undefined,
    zone: 'a',
    now: NOW,
  };
}

/** Each view guards against one wrong choice of endpoint. */
const VIEWS: Readonly<Record<string, IEndpointView>> = {
  'equal load: where the shared part is cached': createView({}, {}),
  'a little more load: where the shared part is cached': createView({ inFlight: 1 }, {}),
  'far more load now': createView(createReport(12, 100), {}),
  'far more load 3 s ago, as hosts of a large fleet hear of it': createView(createReport(12, 3000), {}),
  'far more load long ago': createView(createReport(12, 15_000), {}),
  'ten times slower now': createView(createReport(0, 100, 10), {}),
  'no output for a long time': createView({ firstTokenWaitMs: 6000 }, {}),
  'nothing shared: least load': createView({ inFlight: 1 }, {}, ['own']),
};

test('the endpoint is chosen by the shared prompt prefix, unless its load is far above the mean', (t) => {
  const choose = createChooseByAffinity({
    random: () => 0.5,
    hashToFraction: (text) => (text.endsWith('e-1') ? 0.9 : 0.1),
  });
  t.snapshot(Object.entries(VIEWS).map(([name, view]) => `${name}: ${choose(view) ?? 'none'}`));
});

/** Creates a view with an endpoint that limits its rate, for a prompt after two of the usual length. */
function chooseBesideLimit(promptTokens: number, limited: Patch, free: Patch): string {
  const choose = createChooseByAffinity({ random: () => 0.5, hashToFraction: () => 0.5 });
  const view = createView({ attemptIntervalMs: 2000, ...limited }, free);
  const chooseFor = (tokens: number): string | undefined =>
    choose({
      ...view,
      request: createTestRequest('r', {
        target: { ...TEST_TARGET, prefixHashes: ['p', 'own'], promptTokens: tokens },
      }),
    });
  for (let count = 0; count < 2; count += 1) chooseFor(1000);
  return chooseFor(promptTokens) ?? 'none';
}

test('an endpoint that limits its rate gets long prompts, and short ones only if the others are busy', (t) => {
  const busy = createReport(12, 100);
  t.snapshot({
    'long prompt': chooseBesideLimit(9000, {}, {}),
    'short prompt': chooseBesideLimit(100, {}, {}),
    'short prompt, the other endpoint busy': chooseBesideLimit(100, {}, busy),
    'long prompt, no request due yet': chooseBesideLimit(9000, { nextAttemptAt: NOW + 500 }, busy),
  });
});
