import test from 'ava';
import { startServer } from '../standins/HttpTools.js';
import { sendWarmUpCalls } from '../standins/platform/PlainAnswers.js';
import { RouterRig } from '../standins/platform/RouterRig.js';
import { sendThenCut } from '../standins/RawServer.js';

// Guards against whole answers that are lost: an endpoint at its limit resets the connection of the question.
test('a whole answer that ends with its connection is delivered though its live endpoint resets one question', async (t) => {
  const rig = await RouterRig.startReady();
  let questions = 0;
  const server = await startServer((request, response) => {
    const { headers, socket, url } = request;
    if (url === '/-/report' && (questions += 1) === 1) socket.resetAndDestroy();
    else if (url === '/-/report') response.end(JSON.stringify({ numWaiting: 0, runs: [] }));
    else {
      const id = headers['attempt-id']?.toString() ?? '';
      const head = `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nresponse-stamp: signed\r\n\r\n`;
      void sendThenCut(socket, `${head}a whole answer`, 'fin');
    }
  });
  for (const id of ['p-1', 'p-2']) rig.store.remove(`servers/${id}`);
  rig.publish({ ...rig.runners[0]!, id: 'w-1', address: server.address.replace('http://', '') }, 'ledger');
  await rig.waitUntil(() => rig.events.some(({ fields }) => fields.key === 'servers/w-1'));
  await sendWarmUpCalls((path) => rig.send(path));
  questions = 0;
  const { body, status } = await rig.send('/post/1');
  await rig.close();
  await server.close();
  t.deepEqual({ status, body }, { status: 200, body: 'a whole answer' });
});
