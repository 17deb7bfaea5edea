// Stand-in of a runner: reads requests from its sockets and lets the case answer each of them.
import { createServer } from 'node:net';

const HEAD_END = '\r\n\r\n';

function parseHead(text) {
  const [start = '', ...lines] = text.split('\r\n');
  const [method, path] = start.split(' ');
  const headers = {};
  for (const line of lines) {
    const colon = line.indexOf(':');
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
  }
  return { method, path, headers };
}

/** Reads the requests of a connection, which have a length or no body, one after another. */
function readRequests(socket, onRequest) {
  let chunks = [];
  let length = 0;
  let head;
  let needed = 0;
  socket.on('error', () => undefined);
  socket.on('data', (chunk) => {
    chunks.push(chunk);
    length += chunk.length;
    while (length >= needed) {
      const bytes = Buffer.concat(chunks);
      if (!head) {
        const end = bytes.indexOf(HEAD_END);
        if (end < 0) {
          chunks = [bytes];
          return;
        }
        const parsed = parseHead(bytes.subarray(0, end).toString('latin1'));
        head = { ...parsed, bodyStart: end + HEAD_END.length };
        needed = head.bodyStart + Number(parsed.headers['content-length'] ?? 0);
        chunks = [bytes];
        continue;
      }
      const { bodyStart, ...request } = head;
      const body = bytes.subarray(bodyStart, needed);
      const rest = bytes.subarray(needed);
      chunks = rest.length > 0 ? [rest] : [];
      length = rest.length;
      head = undefined;
      needed = 1;
      onRequest({ ...request, id: request.headers['attempt-id'] ?? '', body }, socket);
    }
  });
}

/**
 * Starts a runner on a free loopback port. `onRequest` answers a request by writing to its socket. Health checks and
 * load reports are answered here, as a healthy runner does; `listRuns` lists the runs of the report, each with its id,
 * tokens in memory, events made and priority. `onCall` answers the other calls of an engine.
 */
export async function startRunner(id, onRequest, { listRuns = () => [], onCall = sendNotFound } = {}) {
  const sockets = new Set();
  const answer = (request, socket) => {
    if (request.path === '/health') socket.write(buildAnswer(request, '', { 'Instance-Id': id }));
    else if (request.path === '/-/report') socket.write(buildAnswer(request, buildReport(listRuns())));
    else if (request.path.startsWith('/-/')) onCall(request, socket);
    else onRequest(request, socket);
  };
  const server = createServer((socket) => {
    socket.setNoDelay(true);
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    readRequests(socket, answer);
  });
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    id,
    address: `127.0.0.1:${server.address().port}`,
    close: () => {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}

function sendNotFound(request, socket) {
  socket.write(buildAnswer(request, '{}', {}, '404 Not Found'));
}

function buildReport(runs) {
  return JSON.stringify({
    stage: 'both',
    models: [],
    busy: false,
    seq: 1,
    numWaiting: 0,
    numRunning: runs.length,
    kvUsed: 0,
    kvTotal: 400_000,
    handles: 0,
    runs,
  });
}

/** Builds the head of a response with the echo of the request's id. */
export function buildHead({ id }, status, headers) {
  const all = { ...(id ? { 'Attempt-Id': id } : {}), ...headers };
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}`);
  return `HTTP/1.1 ${status}\r\n${lines.join('\r\n')}${HEAD_END}`;
}

/** Builds a whole answer with its length. */
export function buildAnswer(request, body, headers = {}, status = '200 OK') {
  return buildHead(request, status, { ...headers, 'Content-Length': Buffer.byteLength(body) }) + body;
}

/** Builds the entry of a runner in the store, as the platform's pages describe it. */
export function buildEntry({ address }, service, { models = [], slots, zone = 'zone-a' }) {
  return {
    service,
    address,
    zone,
    version: 'v1',
    slots,
    state: 'ready',
    coldRemainingMs: 0,
    seq: 1,
    born: 1_790_000_000_000,
    ...(models.length > 0 ? { models: models.map((name) => ({ name, version: 1, adapters: [] })) } : {}),
  };
}
