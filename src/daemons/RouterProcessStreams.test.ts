import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { request as sendRequest, type IncomingMessage } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { finished } from 'node:stream/promises';
import { fileURLToPath } from 'node:url';
import test from 'ava';
import { findFreePort, waitFor } from '../standins/HttpTools.js';
import { sendCall } from '../standins/platform/CallSender.js';
import { startRevisionStoreServer } from '../standins/platform/RevisionStoreServer.js';
import { TEST_CONFIGURATION } from '../standins/platform/RouterRig.js';
import { formatTestSettings } from '../standins/platform/RouterSettings.js';
import { startRunnerStandIn, type AnswerRunnerCall } from '../standins/platform/ScriptedRunner.js';

const SCRIPT = fileURLToPath(new URL('../../router/RouterMain.cjs', import.meta.url));
const STOP_MS = 1500;
const CALL_HEADERS = {
  host: 'a.example',
  'attempt-id': 'call-1',
  'deadline-ms': '4000',
  authorization: 'Token key-north',
};
/** Larger than what the buffers of a connection hold, so that a process that ends has not sent it. */
const LARGE_BODY = Buffer.alloc(8_000_000, 'x');

/** Starts a router process with one endpoint of each service. Returns its front address. */
async function startRouter(answer: AnswerRunnerCall) {
  const store = await startRevisionStoreServer();
  store.put('op/config', TEST_CONFIGURATION);
  const runners = [await startRunnerStandIn('m-1'), await startRunnerStandIn('p-1')];
  for (const [index, runner] of runners.entries()) {
    runner.answer = answer;
    const { address, id } = runner;
    const offer = index === 0 ? ['drafts', [{ name: 'small', version: 1 }]] : ['ledger', []];
    const common = { address, zone: 'a', version: 'v1', slots: 8, state: 'ready', born: 1 };
    store.put(`servers/${id}`, { ...common, service: offer[0], models: offer[1] });
  }
  const folder = mkdtempSync(join(tmpdir(), 'mulberryweir-'));
  const file = join(folder, 'router.ini');
  const [front, ready, metrics] = [await findFreePort(), await findFreePort(), await findFreePort()];
  const ports = { front, ready, metrics };
  const address = store.address.replace('http://', '');
  const host = { id: 'host-1', ip: '127.0.0.1', ports, store: address, retryShare: 0.9, stopMs: STOP_MS };
  writeFileSync(file, formatTestSettings(host));
  const child = spawn(process.execPath, [SCRIPT, file], { stdio: ['ignore', 'ignore', 'inherit'] });
  const fetchStatus = async (): Promise<number> => {
    const reply = await fetch(`http://127.0.0.1:${ready}/-/ready`).catch(() => undefined);
    return reply?.status ?? 0;
  };
  for (let tries = 0; tries < 400 && (await fetchStatus()) !== 200; tries += 1) await waitFor(10);
  const close = async (): Promise<void> => {
    child.kill('SIGKILL');
    for (const runner of runners) await runner.close();
    await store.close();
    rmSync(folder, { recursive: true });
  };
  return { child, address: `127.0.0.1:${front}`, close };
}

async function stopProcess(child: ChildProcess, signal: NodeJS.Signals): Promise<void> {
  child.kill(signal);
  await once(child, 'exit');
}

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
      const router = await startRouter(answer);
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
      const router = await startRouter(({ headers }, { socket }) => {
        const id = headers['attempt-id']?.toString() ?? '';
        socket?.write(`HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nresponse-stamp: s\r\n\r\n`);
        socket?.end(LARGE_BODY);
      });
      t.teardown(router.close);
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
