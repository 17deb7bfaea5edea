import test from 'ava';
import { RouterRig } from '../standins/platform/RouterRig.js';
import { sendEvents, sendFullAnswer, startStream } from '../standins/platform/ScriptedRunner.js';

// Guards against requests to an endpoint that has said in its answers that it leaves, and announces that late or never.
test('an endpoint that says in a response that it leaves gets no further request', async (t) => {
  const rig = await RouterRig.startReady();
  for (const runner of rig.runners) {
    runner.answer = (call, response) => {
      if (runner.id.endsWith('-1')) response.setHeader('Server-Leaving', '1');
      if (runner.id.startsWith('p')) {
        sendFullAnswer(call, response, 200, 'whole');
        return;
      }
      startStream(call, response);
      sendEvents(response, 1, 2);
      response.end();
    };
  }
  const statuses = new Set<number>();
  for (let index = 0; index < 20; index += 1) {
    const prompt = { model: '*', 'prompt-prefix': `p-${index}:10,q:10` };
    statuses.add((await rig.send(`/look/${index}`)).status);
    statuses.add((await rig.send(`/stream/${index}`, prompt)).status);
    // An endpoint writes its announcement again, which need not tell yet that it leaves.
    if (index === 10)
      rig.runners.forEach((runner) => {
        rig.publish(runner, runner.id.startsWith('p') ? 'ledger' : 'drafts', { slots: 9 });
      });
  }
  t.snapshot({
    statuses: [...statuses],
    callsOfLeaving: rig.runners
      .filter(({ id }) => id.endsWith('-1'))
      .map(({ calls, id }) => [id, calls.length]),
  });
  await rig.close();
});

// Guards against requests to an endpoint that has asked this host, with a refusal, to send it nothing for some time.
test('an endpoint that refuses with a time to wait gets nothing in it, and work again after it', async (t) => {
  const rig = await RouterRig.startReady();
  const pauseMs = 1500;
  const arrivals: number[] = [];
  for (const runner of rig.runners) {
    runner.answer = (call, response) => {
      if (runner.id === 'p-1') arrivals.push(Date.now());
      const isRefusal = runner.id === 'p-1' && arrivals.length === 1;
      const headers = { 'not-executed': '1', 'retry-after': String(pauseMs / 1000) };
      const attemptId = String(call.headers['attempt-id']);
      if (isRefusal) response.writeHead(503, { ...headers, 'attempt-id': attemptId }).end();
      else sendFullAnswer(call, response, 200, 'whole');
    };
  }
  const statuses = new Set<number>();
  for (let index = 0; index < 60; index += 1) {
    statuses.add((await rig.send(`/look/${index}`)).status);
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  await rig.close();
  const [refusedAt = NaN] = arrivals;
  t.deepEqual([...statuses], [200]);
  t.deepEqual(
    arrivals.filter((at) => at > refusedAt && at < refusedAt + pauseMs),
    [],
  );
  t.true(
    arrivals.some((at) => at >= refusedAt + pauseMs),
    'the endpoint gets work after the pause',
  );
});
