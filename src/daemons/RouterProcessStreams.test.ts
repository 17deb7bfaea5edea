import { once } from 'node:events';
import { request as sendRequest, type IncomingMessage } from 'node:http';
import { finished } from 'node:stream/promises';
import test from 'ava';
import { sendCall } from '../standins/platform/CallSender.js';
import { sendWarmUpCalls, sendUnmarkedAnswer } from '../standins/platform/PlainAnswers.js';
import { startRouterProcess, stopProcess } from '../standins/platform/RouterProcessRig.js';
import type { AnswerRunnerCall } from '../standins/platform/ScriptedRunner.js';

/** Shorter than the streams, so that a stop cuts them. */
const STOP_MS = 1500;
const CALL_HEADERS = {
  host: 'a.example',
  'attempt-id': 'call-1',
  'deadline-ms': '4000',
  authorization: 'Token key-north',
};
/** Larger than what the buffers of a connection hold, so that a process that ends has not sent it. */
const LARGE_BODY = Buffer.alloc(8_000_000, 'x');

/** Creates an endpoint that sends an event every 50 ms without end. Calls `onEvent` after each. */
function createEndlessStream(hasChunks: boolean, onEvent: (id: number) => void): AnswerRunnerCall {
  return ({ headers }, response) => {
    const { socket } = response;
    const id = headers['attempt-id']?.toString() ?? '';
    const framing = hasChunks ? 'transfer-encoding: chunked\r\n' : '';
    const type = 'content-type: text/event-stream\r\nconfidence: 90';
    socket?.write(`HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nresponse-stamp: s\r\n${type}\r\n${framing}\r\n`);
    let count = 0;
    const timer = setInterval(() => {
      count += 1;
      const event = `id: ${count}\ndata: piece ${count}\n\n`;
      socket?.write(hasChunks ? `${event.length.toString(16)}\r\n${event}\r\n` : event);
      onEvent(count);
    }, 50);
    socket?.once('close', () => {
      clearInterval(timer);
    });
  };
}

for (const signal of ['SIGKILL', 'SIGTERM'] as const) {
  for (const hasChunks of [true, false]) {
    const framing = hasChunks ? 'in chunks' : 'without length or chunks';
    // Guards against ORDER: the end of the router's connection looks like the end of the stream.
    test.serial(`a stream ${framing} is not complete when its router ends by ${signal}`, async (t) => {
      let onFifthEvent = (): void => undefined;
      const hasBegun = new Promise<void>((resolve) => (onFifthEvent = resolve));
      const answer = createEndlessStream(hasChunks, (id) => {
        if (id === 5) onFifthEvent();
      });
      const router = await startRouterProcess(answer, STOP_MS);
      t.teardown(router.close);
      const headers = { ...CALL_HEADERS, model: '*' };
      const call = sendCall({ address: router.address, path: '/stream/1', headers, method: 'POST' });
      await Promise.race([hasBegun, call.result]);
      await stopProcess(router.child, signal);
      const { body, isComplete, status } = await call.result;
      t.deepEqual({ status, isComplete }, { status: 200, isComplete: false }, body);
      t.regex(body, /piece 1\n\n/);
    });
  }

  // Guards against MIXED: the router knows the length of the answer but lets the caller take its own end for the end.
  test.serial(
    `a large plain answer without length is not complete when its router ends by ${signal}`,
    async (t) => {
      const router = await startRouterProcess((call, response) => {
        sendUnmarkedAnswer(call, response, call.path === '/look/1' ? LARGE_BODY.toString() : 'short');
      }, STOP_MS);
      t.teardown(router.close);
      const { address } = router;
      const call = { address, headers: CALL_HEADERS, method: 'POST' };
      await sendWarmUpCalls((path) => sendCall({ ...call, path }).result);
      const [host, port] = router.address.split(':');
      const request = sendRequest({ host, port, path: '/look/1', method: 'POST', headers: CALL_HEADERS });
      const [response] = (await once(request.end(), 'response')) as [IncomingMessage];
      // The caller reads nothing before the router has ended.
      await stopProcess(router.child, signal);
      let length = 0;
      response.on('data', (chunk: Buffer) => (length += chunk.length));
      await finished(response).catch(() => undefined);
      const isWhole = length === LARGE_BODY.length;
      const received = { status: response.statusCode, isComplete: response.complete, isWhole };
      t.deepEqual(received, { status: 200, isComplete: false, isWhole: false });
    },
  );
}
