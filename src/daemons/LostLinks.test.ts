import test, { type ExecutionContext } from 'ava';
import { RouterRig } from '../standins/platform/RouterRig.js';
import { sendEvents, startStream } from '../standins/platform/ScriptedRunner.js';
import type { LinkState, OpenConnections } from '../testing/HostLink.js';

const PATHS = ['/stream/1', '/look/1', '/post/1'];

/** Time from a cut after which callers have to be served as before. */
const DETECTION_MS = 3000;
/** Time from the return of a link within which it has to be in use again, and unused paths have to be forgotten. */
const RETURN_MS = 6000;
const PAUSE_MS = 50;

/** Two hosts that reach one another, and runners that answer streams and plain calls. */
async function startHosts(): Promise<{ rig: RouterRig; peer: RouterRig }> {
  const rig = await RouterRig.startReady({ hasPeers: true });
  const peer = await rig.startPeer('host-2');
  for (const runner of rig.runners.filter(({ id }) => id.startsWith('m-'))) {
    runner.answer = (call, response) => {
      startStream(call, response);
      sendEvents(response, 1, 3);
      response.end();
    };
  }
  return { rig, peer };
}

async function sendCalls(host: RouterRig, rounds: number): Promise<number[]> {
  const statuses: number[] = [];
  for (let round = 0; round < rounds; round += 1) {
    const results = await Promise.all(PATHS.map((path) => host.send(path)));
    statuses.push(...results.map(({ status }) => status));
    await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
  }
  return statuses;
}

async function sendCallsFor(host: RouterRig, durationMs: number): Promise<void> {
  const endsAt = performance.now() + durationMs;
  while (performance.now() < endsAt) await sendCalls(host, 1);
}

async function checkCut(
  t: ExecutionContext,
  state: Exclude<LinkState, 'up'>,
  openConnections: OpenConnections,
): Promise<void> {
  const { peer, rig } = await startHosts();
  await sendCalls(rig, 4);
  rig.link.stop(state, openConnections);
  await sendCallsFor(rig, DETECTION_MS);
  const statuses = await sendCalls(rig, 8);
  const crashes = rig.events.filter(({ kind }) => kind === 'endpoint.crashed').length;
  await peer.close();
  await rig.close();
  t.deepEqual([...new Set(statuses)], [200]);
  t.is(crashes, 0);
}

// Guards against RECOVER: a host takes its lost links for lost endpoints, and refuses calls that others could serve.
test(
  'calls are served by way of another host while connections to the endpoints hang',
  checkCut,
  'hung',
  'silent',
);

// Guards against RECOVER: the same, where connections are reset and new ones refused.
test(
  'calls are served by way of another host while connections to the endpoints are refused',
  checkCut,
  'refused',
  'reset',
);

// Guards against RECOVER: open connections hide that no new one can be opened.
test('calls are served while open connections live on and new ones are refused', checkCut, 'refused', 'kept');

// Guards against a host that keeps using another one after its own links are back.
test('a host uses its own links again soon after they are back', async (t) => {
  const { peer, rig } = await startHosts();
  await sendCalls(rig, 4);
  rig.link.stop('refused', 'reset');
  await sendCallsFor(rig, 1000);
  const relayed = rig.events.filter(
    ({ fields, kind }) => kind === 'endpoint.path' && fields.path === 'relayed',
  );
  rig.link.restore();
  await sendCallsFor(rig, RETURN_MS);
  const pathsByEndpoint = new Map(
    rig.events
      .filter(({ kind }) => kind === 'endpoint.path')
      .map(({ fields }) => [fields.address, fields.path] as const),
  );
  await peer.close();
  await rig.close();
  t.true(relayed.length > 0);
  t.deepEqual([...new Set(pathsByEndpoint.values())], ['direct']);
});
