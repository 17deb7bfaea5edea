import test from 'ava';
import { hashTexts } from '../../adapters/Random.js';
import { createTestEndpoint } from '../../testing/EntryFixtures.js';
import { ManualClock } from '../../testing/ManualClock.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import { createChooseRelays } from '../policy/Relays.js';
import { EndpointPathController } from './EndpointPathController.js';

const ENDPOINTS = ['e-1', 'e-2', 'e-3'];

/** A host in zone `a` with two others there and three elsewhere. */
function createFixture() {
  const board = new Blackboard();
  const clock = new ManualClock();
  for (const id of ENDPOINTS) board.endpoints.set(id, { ...createTestEndpoint(id), address: id });
  for (const [host, zone] of Object.entries({ self: 'a', a1: 'a', a2: 'a', b1: 'b', b2: 'b', c1: 'c' }))
    board.presentHosts.set(host, { host, announcedAt: 0, address: `${host}:1`, zone });
  const chooseRelays = createChooseRelays(hashTexts);
  const paths = new EndpointPathController({ board, clock, host: 'self', zone: 'a', chooseRelays });
  const renewed: string[] = [];
  paths.onRenewal((address) => renewed.push(address));
  const plan = (address: string) => {
    const { isDirectTried, listRelays, relayDelayMs } = paths.planDial(address);
    return {
      isDirectTried,
      relayDelayMs,
      relays: listRelays()
        .map(({ host }) => host)
        .join(),
    };
  };
  return { board, clock, paths, plan, renewed };
}

// Guards against RECOVER: a lost path that is taken for a lost endpoint, and verdicts of attempts over it that stay.
test('an endpoint that another host reaches gets a relayed path, and what was concluded before is withdrawn', (t) => {
  const { board, clock, paths, plan, renewed } = createFixture();
  board.endpoints.update('e-1', { health: 'suspect', consecutiveFailures: 3 });
  const before = plan('e-1');
  paths.recordDirect('e-1', 'failed');
  const afterFailure = board.endpointPaths.get('e-1')?.kind;
  paths.recordRelay('e-1', 'b1', 'connected');
  const after = plan('e-1');
  const { consecutiveFailures, health } = board.endpoints.get('e-1') ?? {};
  t.snapshot({
    before,
    afterFailure,
    path: board.endpointPaths.get('e-1'),
    after,
    endpoint: { consecutiveFailures, health },
    others: plan('e-2'),
    renewed,
    isVerdictSound: ENDPOINTS.map(paths.isVerdictSound),
    now: clock.now(),
  });
});

// Guards against a path that stays relayed after the link is back, and against a wave of connections to find out.
test('the direct path is tried once a second, and taken again when it connects', async (t) => {
  const { board, clock, paths, plan, renewed } = createFixture();
  plan('e-1');
  paths.recordDirect('e-1', 'failed');
  paths.recordRelay('e-1', 'b1', 'connected');
  const tries: boolean[] = [];
  for (let step = 0; step < 8; step += 1) {
    await clock.advance(250);
    tries.push(plan('e-1').isDirectTried);
  }
  paths.recordDirect('e-1', 'connected');
  await clock.advance(5000);
  t.snapshot({ tries, path: board.endpointPaths.get('e-1')?.kind, renewed, plan: plan('e-1') });
});

// Guards against several questions for each connection to an endpoint that is down.
test('no relay is asked again soon for an endpoint that none reaches, and none is avoided for it', async (t) => {
  const { board, clock, paths, plan } = createFixture();
  paths.recordDirect('e-1', 'failed');
  for (const host of ['a1', 'b1', 'c1']) paths.recordRelay('e-1', host, 'endpoint-unreachable');
  paths.recordNoRelay('e-1');
  const soon = plan('e-1');
  const other = plan('e-2');
  await clock.advance(1000);
  t.snapshot({ soon, other, later: plan('e-1'), avoided: [...board.relays.list()] });
});

// Guards against relays that have lost their links as well, as when a whole zone has.
test('a relay that does not reach what another one does is avoided, and its zone comes last', async (t) => {
  const { board, clock, paths, plan } = createFixture();
  paths.recordDirect('e-1', 'failed');
  paths.recordRelay('e-1', 'a1', 'endpoint-unreachable');
  paths.recordRelay('e-1', 'c1', 'connected');
  const plans = { 'e-1': plan('e-1'), 'e-2': plan('e-2') };
  const avoided = [...board.relays.list()];
  paths.recordRelay('e-1', 'a2', 'endpoint-unreachable');
  const late = board.relays.get('a2');
  paths.recordRelay('e-2', 'b1', 'relay-unavailable');
  paths.recordRelay('e-2', 'b1', 'relay-unavailable');
  const twice = board.relays.get('b1');
  await clock.advance(1000);
  t.snapshot({ plans, avoided, late, twice, later: plan('e-2') });
});

// Guards against entries that stay for endpoints which have left.
test('the path of an endpoint that has left is dropped', (t) => {
  const { board, paths } = createFixture();
  paths.recordDirect('e-1', 'failed');
  paths.recordRelay('e-1', 'b1', 'connected');
  board.endpoints.delete('e-1');
  t.is(board.endpointPaths.size, 0);
  t.true(paths.isVerdictSound('e-2'));
});

// Guards against an endpoint that is not used, by which a host suspects its links and reports no crashes for good.
test('a relayed path without connections counts as direct again', async (t) => {
  const { board, clock, paths } = createFixture();
  paths.recordDirect('e-1', 'failed');
  paths.recordRelay('e-1', 'b1', 'connected');
  const kinds: (string | undefined)[] = [];
  for (let second = 0; second < 5; second += 1) {
    await clock.advance(1000);
    kinds.push(board.endpointPaths.get('e-1')?.kind);
  }
  t.snapshot({ kinds, isVerdictSound: paths.isVerdictSound('e-1') });
});

// Guards against BUDGET: a host that has lost one link reports no crashes of endpoints that nobody reaches.
test('an endpoint that no relay reaches is down also for a host with lost links', async (t) => {
  const { clock, paths } = createFixture();
  paths.recordDirect('e-1', 'failed');
  paths.recordRelay('e-1', 'b1', 'connected');
  paths.recordDirect('e-2', 'failed');
  const before = paths.isVerdictSound('e-2');
  paths.recordNoRelay('e-2');
  const after = paths.isVerdictSound('e-2');
  await clock.advance(1000);
  t.deepEqual([before, after, paths.isVerdictSound('e-2')], [false, true, false]);
});

// Guards against a path without its relay, which the log and the next choice need: the direct path fails after a relay has
// connected where connections hang.
test('the relay of a path is known also if the direct path fails later', (t) => {
  const { board, paths, plan } = createFixture();
  paths.recordRelay('e-1', 'b1', 'connected');
  paths.recordDirect('e-1', 'failed');
  t.is(board.endpointPaths.get('e-1')?.relay, 'b1');
  t.regex(plan('e-1').relays, /^b1,/);
});
