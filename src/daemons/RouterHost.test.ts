import { Agent } from 'node:http';
import { connect } from 'node:net';
import test from 'ava';
import { sendWarmUpCalls, sendUnmarkedAnswer } from '../standins/platform/PlainAnswers.js';
import { RouterRig, TEST_CONFIGURATION } from '../standins/platform/RouterRig.js';
import { sendEvents, sendFullAnswer, startStream } from '../standins/platform/ScriptedRunner.js';

// Guards against a request that reaches the runner altered, without its account, or with the caller's API
// key.
test('a call is forwarded unchanged except for the headers that the router sets', async (t) => {
  const rig = await RouterRig.startReady();
  const headers = { tenant: 'forged', 'expect-instance': 'forged', 'x-own': 'kept', 'kv-from': 'forged' };
  const view = await rig.send('/look/a?b=c', headers, { body: 'a body' });
  t.snapshot({ status: view.status, body: view.body.replace(/p-\d/, 'p-N'), isWhole: view.isComplete });
  const call = rig.runners.flatMap(({ calls }) => calls)[0];
  const { method, path, body } = call!;
  const names = ['tenant', 'x-own', 'kv-from', 'authorization', 'attempt-id', 'request-priority'];
  t.snapshot({ method, path, body, headers: names.map((name) => [name, call!.headers[name]]) });
  t.regex(String(call!.headers['expect-instance']), /^p-[12]$/);
  t.true(Number(call!.headers['deadline-ms']) <= 4000);
  await rig.close();
});

// Guards against calls that are denied with the wrong status, and against a host without a configuration that
// denies calls for good or reports that it is ready.
test('calls without a matching route, a valid key or a configuration are refused with the right status', async (t) => {
  const rig = await RouterRig.startReady();
  const statuses = [
    (await rig.send('/none/1')).status,
    (await rig.send('/look/1', { authorization: 'Token wrong' })).status,
    (await rig.send('/look/1', { host: 'b.example' })).status,
  ];
  await rig.close();
  t.deepEqual(statuses, [404, 401, 404]);
  const empty = await RouterRig.start(null);
  const early = await empty.send('/look/1');
  t.is(early.status, 503);
  t.truthy(early.headers['retry-after']);
  t.is(await empty.fetchReadyStatus(), 503);
  t.true(empty.events.some(({ kind, fields }) => kind === 'call.refused' && fields.code === 'not_ready'));
  await empty.close();
});

// Guards against a non-idempotent call that runs twice, or that is reported as not run although it may have
// run.
test('a non-idempotent call is retried only if the runner says that it has not run the call', async (t) => {
  const rig = await RouterRig.startReady();
  const plain = rig.runners.filter(({ id }) => id.startsWith('p'));
  for (const runner of plain) {
    runner.answer = (_call, response) => {
      response.writeHead(503, { 'not-executed': '1' }).end();
    };
  }
  const refused = await rig.send('/post/1', {}, { body: 'refund' });
  for (const runner of plain) runner.answer = (_call, response) => void response.destroy();
  const before = plain.flatMap(({ calls }) => calls).length;
  const unknown = await rig.send('/post/2', {}, { body: 'refund' });
  const after = plain.flatMap(({ calls }) => calls).length;
  t.is(refused.status, 503);
  t.truthy(refused.headers['retry-after']);
  t.is(unknown.status, 502);
  t.is(after - before, 1);
  await rig.close();
});

// Guards against returning the failure of one runner to the caller although another runner could answer.
test('an idempotent call is answered by another runner after a failure', async (t) => {
  const rig = await RouterRig.startReady();
  let failures = 0;
  for (const runner of rig.runners) {
    runner.answer = (call, response) => {
      failures += 1;
      sendFullAnswer(call, response, failures === 1 ? 500 : 200, 'text');
    };
  }
  const view = await rig.send('/look/1');
  t.deepEqual([view.status, failures], [200, 2]);
  await rig.close();
});

// Guards against an answer without a length that is truncated by a connection reset and delivered as
// complete.
test('an answer that ends with a connection reset is not treated as complete', async (t) => {
  const rig = await RouterRig.startReady();
  let isFirst = true;
  for (const runner of rig.runners) {
    runner.answer = (call, response) => {
      if (!isFirst) {
        sendFullAnswer(call, response, 200, 'whole');
        return;
      }
      isFirst = false;
      const id = call.headers['attempt-id']?.toString() ?? '';
      const { socket } = response;
      socket?.write(`HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nresponse-stamp: s\r\n\r\npart`);
      setTimeout(() => socket?.resetAndDestroy(), 50);
    };
  }
  t.is((await rig.send('/look/1')).body, 'whole');
  isFirst = true;
  t.is((await rig.send('/post/1')).status, 502);
  await rig.close();
});

// Guards against MIXED: a copy without a length looks whole, wherever its connection is cut behind the host.
test('an answer that ends with the close of its connection is delivered with its length', async (t) => {
  const rig = await RouterRig.startReady();
  for (const runner of rig.runners) {
    runner.answer = (call, response) => {
      sendUnmarkedAnswer(call, response, 'unframed');
    };
  }
  await sendWarmUpCalls((path) => rig.send(path));
  const view = await rig.send('/post/1');
  const { 'content-length': length, 'transfer-encoding': encoding } = view.headers;
  t.deepEqual([view.body, length, encoding], ['unframed', '8', undefined]);
  await rig.close();
});

// Guards against a call that runs beyond the time-out of its route because the runner does not answer.
test('a call is refused at the time-out of its route', async (t) => {
  const rig = await RouterRig.startReady();
  for (const runner of rig.runners) runner.answer = () => undefined;
  const startedAt = performance.now();
  const view = await rig.send('/short/1');
  t.is(view.status, 504);
  t.true(performance.now() - startedAt < 700);
  await rig.close();
});

// Guards against events that are lost or duplicated when a stream is resumed at another runner.
test('a stream that breaks off within an event is resumed at another runner after the last complete event', async (t) => {
  const rig = await RouterRig.startReady();
  let isFirst = true;
  const resumedAfter: (string | undefined)[] = [];
  for (const runner of rig.runners) {
    runner.answer = (call, response) => {
      startStream(call, response);
      if (isFirst) {
        isFirst = false;
        sendEvents(response, 1, 3);
        response.write('id: 4\ndata: pie');
        setTimeout(() => response.destroy(), 50);
        return;
      }
      resumedAfter.push(call.headers['last-event-id']?.toString());
      sendEvents(response, 4, 6);
      response.end();
    };
  }
  const view = await rig.send('/stream/1', { model: '*' });
  t.snapshot({ status: view.status, body: view.body, isWhole: view.isComplete, resumedAfter });
  await rig.close();
});

// Guards against an answer of low confidence that reaches the caller, and against a stream with events of two
// models.
test('an answer of low confidence is replaced by the answer of the largest model', async (t) => {
  const rig = await RouterRig.startReady();
  const models: (string | undefined)[] = [];
  for (const runner of rig.runners) {
    runner.answer = (call, response) => {
      const model = call.headers.model?.toString();
      models.push(model);
      startStream(call, response, model === 'small' ? 20 : 90);
      sendEvents(response, 1, 2);
      response.write(`id: 3\ndata: ${model ?? ''}\n\n`);
      response.end();
    };
  }
  const view = await rig.send('/stream/1', { model: '*' });
  t.snapshot({ body: view.body, models });
  await rig.close();
});

// Guards against a stream with events of two models when a resumed answer has a low confidence.
test('a stream that is resumed after a failure keeps its model', async (t) => {
  const rig = await RouterRig.startReady();
  const models: (string | undefined)[] = [];
  for (const runner of rig.runners) {
    runner.answer = (call, response) => {
      models.push(call.headers.model?.toString());
      const isFirst = models.length === 1;
      startStream(call, response, isFirst ? 90 : 20);
      sendEvents(response, isFirst ? 1 : 3, isFirst ? 2 : 4);
      if (isFirst) setTimeout(() => response.destroy(), 20);
      else response.end();
    };
  }
  const view = await rig.send('/stream/1', { model: '*' });
  t.snapshot({ isWhole: view.isComplete, body: view.body, models });
  await rig.close();
});

// Guards against refusals based only on the estimated duration while runners are idle. Without further
// answers the estimate would never be corrected.
test('a call is tried although earlier ones took longer than it may', async (t) => {
  const rig = await RouterRig.startReady();
  let pauseMs = 200;
  for (const runner of rig.runners) {
    runner.answer = async (call, response) => {
      startStream(call, response);
      for (let id = 1; id <= 4; id += 1) {
        sendEvents(response, id, id);
        await new Promise((resolve) => setTimeout(resolve, pauseMs));
      }
      response.end();
    };
  }
  const headers = { model: '*', 'token-usage': '100,4' };
  t.is((await rig.send('/stream/1', headers)).status, 200);
  pauseMs = 1;
  const view = await rig.send('/stream/2', { ...headers, 'deadline-ms': '400' });
  t.deepEqual([view.status, view.isComplete], [200, true]);
  await rig.close();
});

// Guards against a stream that ends like a complete one although its runner failed and no other runner can
// resume it.
test('a stream that no runner completes does not end like a complete one', async (t) => {
  const rig = await RouterRig.startReady();
  for (const runner of rig.runners) {
    runner.answer = (call, response) => {
      startStream(call, response);
      sendEvents(response, 1, 1);
      setTimeout(() => response.destroy(), 20);
    };
  }
  const view = await rig.send('/stream/1', { model: '*' });
  t.false(view.isComplete);
  await rig.close();
});

// Guards against calls to a runner that has announced its shutdown, and against a return to an older
// configuration.
test('a draining runner gets no calls, and an older configuration is ignored', async (t) => {
  const rig = await RouterRig.startReady();
  const [leaving] = rig.runners.filter(({ id }) => id === 'p-1');
  rig.publish(leaving!, 'ledger', { state: 'draining' });
  rig.store.put('op/config', { ...TEST_CONFIGURATION, version: 3, routes: [] });
  await rig.waitUntil(() => rig.events.filter(({ kind }) => kind === 'config.in-force').length === 2);
  rig.store.put('op/config', { ...TEST_CONFIGURATION, version: 2 });
  await new Promise((resolve) => setTimeout(resolve, 100));
  t.is((await rig.send('/look/1')).status, 404);
  rig.store.put('op/config', { ...TEST_CONFIGURATION, version: 4 });
  await rig.waitUntil(async () => (await rig.send('/look/1')).status === 200);
  for (let count = 0; count < 10; count += 1) await rig.send('/look/1');
  t.is(leaving!.calls.length, 0);
  await rig.close();
});

// Guards against calls that fail while the store is unreachable, and against a watch that does not resume
// afterwards.
test('calls are served while the store is unreachable, and changes are applied once it is back', async (t) => {
  const rig = await RouterRig.startReady();
  rig.store.fault = 'refuse';
  await new Promise((resolve) => setTimeout(resolve, 200));
  rig.store.put('op/config', { ...TEST_CONFIGURATION, version: 5 });
  t.is((await rig.send('/look/1')).status, 200);
  // The watch in progress returns the change; the store refuses the next request.
  await rig.waitUntil(() => rig.events.some(({ kind }) => kind === 'store.lost'));
  t.is((await rig.send('/look/1')).status, 200);
  t.is(await rig.fetchReadyStatus(), 200);
  rig.store.put('op/config', { ...TEST_CONFIGURATION, version: 6 });
  rig.store.compact();
  rig.store.fault = 'none';
  await rig.waitUntil(() => rig.events.some(({ fields }) => fields.version === 6));
  const states = rig.events.filter(({ kind }) => kind.startsWith('store.')).map(({ kind }) => kind);
  t.deepEqual([...new Set(states)], ['store.connected', 'store.lost']);
  await rig.close();
});

// Guards against a shutdown that interrupts a call, or that refuses one while the load balancer still sends
// calls.
test('a stopping host completes running calls and accepts calls until the load balancer has noticed the stop', async (t) => {
  const rig = await RouterRig.startReady();
  for (const runner of rig.runners) {
    runner.answer = async (call, response) => {
      await new Promise((resolve) => setTimeout(resolve, 300));
      sendFullAnswer(call, response, 200, 'late');
    };
  }
  const running = rig.send('/post/1');
  await new Promise((resolve) => setTimeout(resolve, 50));
  const stopped = rig.host.stop();
  const during = rig.send('/look/1');
  t.is(await rig.fetchReadyStatus(), 503);
  t.deepEqual([(await running).status, (await during).status], [200, 200]);
  await stopped;
  await rig.close();
});

// Guards against a call that runs but cannot be answered because the host has closed its connection in the
// meantime.
test('a call sent right after an answer that began before the stop is answered', async (t) => {
  const rig = await RouterRig.startReady();
  const calls: string[] = [];
  for (const runner of rig.runners) {
    runner.answer = async (call, response) => {
      calls.push(call.path);
      startStream(call, response);
      sendEvents(response, 1, 1);
      await new Promise((resolve) => setTimeout(resolve, 200));
      sendEvents(response, 2, 2);
      response.end();
    };
  }
  const [host, port] = rig.frontAddress.split(':');
  const socket = connect({ host: host!, port: Number(port), allowHalfOpen: true });
  t.teardown(() => socket.destroy());
  let received = '';
  const sendNext = (number: number): void => {
    const head = `POST /stream/${number} HTTP/1.1\r\nhost: a.example\r\nattempt-id: raw-${number}\r\n`;
    socket.write(
      `${head}deadline-ms: 3000\r\nmodel: *\r\ncontent-length: 0\r\nauthorization: Token key-north\r\n\r\n`,
    );
  };
  socket.on('data', (bytes) => {
    received += bytes.toString();
    if (received.endsWith('0\r\n\r\n') && !received.includes('raw-2')) sendNext(2);
  });
  sendNext(1);
  await rig.waitUntil(() => received.includes('piece 1'));
  const stopped = rig.host.stop();
  await new Promise((resolve) => socket.once('end', resolve));
  await stopped;
  await rig.close();
  t.deepEqual(calls, ['/stream/1', '/stream/2']);
  t.deepEqual(received.replaceAll('\r', '').match(/^(HTTP.*|data: .*|0)$/gm), [
    'HTTP/1.1 200 OK',
    'data: piece 1',
    'data: piece 2',
    '0',
    'HTTP/1.1 200 OK',
    'data: piece 1',
    'data: piece 2',
    '0',
  ]);
});

// Guards against a call that is accepted shortly before the process is killed, on a connection whose previous
// call has just ended.
test('a connection with a call in progress during the stop accepts no further call', async (t) => {
  // Calls in progress are refused shortly before the end of a stop, which a loaded machine must not reach here.
  const rig = await RouterRig.startReady({ shutdownTimeoutMs: 2400 });
  for (const runner of rig.runners) {
    runner.answer = async (call, response) => {
      startStream(call, response);
      sendEvents(response, 1, 1);
      await new Promise((resolve) => setTimeout(resolve, 1400));
      sendEvents(response, 2, 2);
      response.end();
    };
  }
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const before = rig.send('/stream/1', { model: '*' }, { agent });
  await new Promise((resolve) => setTimeout(resolve, 50));
  const stopped = rig.host.stop();
  const first = await before;
  const second = await rig.send('/stream/2', { model: '*' }, { agent });
  t.deepEqual([first.status, first.isComplete], [200, true]);
  t.true(second.status === 0 || second.status === 503, String(second.status));
  t.is(rig.runners.flatMap(({ calls }) => calls).length, 1);
  await stopped;
  agent.destroy();
  await rig.close();
});
