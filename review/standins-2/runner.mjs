import { createServer } from 'node:http';
import { listen, readBody, sendJson } from './net.mjs';

/**
 * Starts a sound runner: it runs `slots` requests at a time, queues `queue` more, refuses others with 503 and
 * `Not-Executed`, and drops a request when its connection closes. `run` does the work of a request and answers it; it is
 * called once the request has a slot. `onEvent` is told what becomes of each request: `arrived`, `run`, `refused`,
 * `ended` or `dropped`.
 */
export async function startRunner({ id, slots, queue = 4 * slots, run, onEvent = () => undefined, ip }) {
  const waiting = [];
  let running = 0;
  const startNext = () => {
    while (running < slots && waiting.length > 0) waiting.shift()();
  };
  const headersOf = (request) => ({
    'Attempt-Id': request.headers['attempt-id'] ?? '',
    'Server-Load': `${running},${waiting.length},${slots},100`,
  });
  const handle = async (request, response) => {
    const { headers, method, url } = request;
    if (url === '/-/report') {
      sendJson(response, 200, {
        stage: 'both',
        models: [],
        busy: false,
        seq: 0,
        numWaiting: waiting.length,
        numRunning: running,
        kvUsed: 0,
        kvTotal: 400000,
        handles: 0,
        runs: [],
      });
      return;
    }
    if (url === '/health') {
      response.writeHead(200, { 'Instance-Id': id, 'Content-Length': 0 }).end();
      return;
    }
    const call = { id: headers['attempt-id'], method, url, headers, runner: id };
    call.body = await readBody(request);
    onEvent('arrived', call);
    const refuse = (status, reason) => {
      onEvent('refused', call, reason);
      response.writeHead(status, { ...headersOf(request), 'Not-Executed': '1', 'Content-Length': 0 }).end();
    };
    if (headers['expect-instance'] !== undefined && headers['expect-instance'] !== id) {
      refuse(421, 'another runner is expected');
      return;
    }
    if (waiting.length >= queue) {
      refuse(503, 'full');
      return;
    }
    const state = { isOpen: true };
    response.once('close', () => {
      state.isOpen = false;
    });
    const expiresAt = Date.now() + Number(headers['deadline-ms'] ?? Infinity);
    const start = () => {
      if (!state.isOpen) {
        onEvent('dropped', call, 'in the queue');
        return;
      }
      if (Date.now() >= expiresAt) {
        refuse(503, 'the deadline passed in the queue');
        return;
      }
      running += 1;
      onEvent('run', call);
      let isOver = false;
      const finish = (event) => {
        if (isOver) return;
        isOver = true;
        running -= 1;
        onEvent(event, call);
        startNext();
      };
      response.once('close', () => finish(response.writableFinished ? 'ended' : 'dropped'));
      run(call, response, { headers: { ...headersOf(request), 'Response-Stamp': `stamp-${id}` }, expiresAt });
    };
    waiting.push(start);
    startNext();
  };
  const server = createServer((request, response) => {
    handle(request, response).catch((error) => onEvent('broken', { runner: id }, error.message));
  });
  const address = await listen(server, ip);
  return {
    id,
    address,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
    get running() {
      return running;
    },
  };
}

/** Answers a plain request after some time. */
export function answerAfter(ms, body = 'done') {
  return (_call, response, { headers }) => {
    setTimeout(() => {
      if (!response.destroyed)
        response.writeHead(200, { ...headers, 'Content-Length': Buffer.byteLength(body) }).end(body);
    }, ms);
  };
}

/** Answers with a stream of events, one each `gapMs`; it goes on after `Last-Event-Id`. */
export function streamEvents({ count, gapMs, firstMs = gapMs }) {
  return (call, response, { headers }) => {
    let next = Number(call.headers['last-event-id'] ?? 0) + 1;
    const send = () => {
      if (response.destroyed) return;
      if (!response.headersSent)
        response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream', Confidence: '95' });
      response.write(`id: ${next}\ndata: piece ${next}\n\n`);
      next += 1;
      if (next > count) response.end();
      else setTimeout(send, gapMs);
    };
    setTimeout(send, firstMs);
  };
}

/** Record of a runner as it registers itself in the store. */
export function describeRunner(runner, service, { slots, ...fields }) {
  return {
    service,
    address: runner.address,
    zone: 'zone-a',
    version: 'v1',
    slots,
    state: 'ready',
    coldRemainingMs: 0,
    seq: 1,
    born: Date.now(),
    ...fields,
  };
}
