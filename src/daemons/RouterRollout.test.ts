import test from 'ava';
import { hashTexts } from '../adapters/Random.js';
import { RouterRig } from '../standins/platform/RouterRig.js';
import { sendEvents, startStream, type IRunnerStandIn } from '../standins/platform/ScriptedRunner.js';

/** Lists sessions whose hash is so low that the canary stage of a rollout moves them to the new release. */
function listCanarySessions(count: number): string[] {
  const sessions: string[] = [];
  for (let number = 0; sessions.length < count; number += 1) {
    const session = `session-${number}`;
    if (parseInt(hashTexts(`drafts/${session}`).slice(0, 8), 16) / 16 ** 8 < 0.02) sessions.push(session);
  }
  return sessions;
}

async function sendStream(rig: RouterRig, session: string): Promise<void> {
  await rig.send('/stream/1', { model: '*', session, 'attempt-id': `${session}/${Math.random()}` });
}

/** Lets a runner answer each call with a stream of two events. */
function sendStreamAnswers(runner: IRunnerStandIn): void {
  runner.answer = (call, response) => {
    startStream(call, response);
    sendEvents(response, 1, 2);
    response.end();
  };
}

test('a session on the old release stays there in the canary stage when it comes to another host', async (t) => {
  const rig = await RouterRig.startReady();
  const peer = await rig.startPeer('host-2');
  for (const runner of rig.runners) sendStreamAnswers(runner);
  const [session = '', ...newSessions] = listCanarySessions(120);
  await sendStream(rig, session);
  const canaryRunner = await rig.addRunner('m-3', 'drafts', { version: 'v2' });
  sendStreamAnswers(canaryRunner);
  rig.store.put('op/rollout/drafts', { service: 'drafts', target: 'v2', durationS: 60 });
  await peer.waitUntil(async () => {
    await new Promise((resolve) => setTimeout(resolve, 50));
    await sendStream(peer, newSessions.pop() ?? '');
    return canaryRunner.calls.length > 0;
  });
  await sendStream(peer, session);
  const releases = rig.runners.flatMap(({ calls, id }) =>
    calls.filter(({ headers }) => headers.session === session).map(() => (id === 'm-3' ? 'v2' : 'v1')),
  );
  await peer.close();
  await rig.close();
  t.deepEqual(releases, ['v1', 'v1']);
});
