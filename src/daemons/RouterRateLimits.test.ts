import test from 'ava';
import { RouterRig } from '../standins/platform/RouterRig.js';
import { sendEvents, startStream } from '../standins/platform/ScriptedRunner.js';

// Guards against LIMIT: an endpoint names the requests a second that it takes, and the hosts send it many more.
test('an endpoint that names a limit gets no more from all hosts together, and others take the rest', async (t) => {
  const rig = await RouterRig.startReady();
  const peer = await rig.startPeer('host-2');
  const limitedAt: number[] = [];
  for (const runner of rig.runners) {
    runner.answer = (call, response) => {
      if (runner.id === 'm-1') {
        limitedAt.push(Date.now());
        response.setHeader('Server-Limit', '2.0');
      }
      startStream(call, response);
      sendEvents(response, 1, 2);
      response.end();
    };
  }
  const statuses = new Map<number, number>();
  const sendOne = async (host: RouterRig, index: number): Promise<void> => {
    const { status } = await host.send(`/stream/${index}`, {
      model: '*',
      'prompt-prefix': `p-${index}:10,q:10`,
    });
    statuses.set(status, (statuses.get(status) ?? 0) + 1);
  };
  const sent: Promise<void>[] = [];
  for (let index = 0; index < 70; index += 1) {
    sent.push(sendOne(rig, index), sendOne(peer, index));
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  await Promise.all(sent);
  await peer.close();
  await rig.close();
  const settledAt = (limitedAt[0] ?? 0) + 3000;
  const late = limitedAt.filter((at) => at >= settledAt);
  const peak = Math.max(
    0,
    ...late.map((start) => late.filter((at) => at >= start && at < start + 4000).length),
  );
  t.true(peak > 0 && peak <= 1.5 * 2 * 4 + 5, `${peak} requests in 4 s`);
  t.snapshot([...statuses]);
});
