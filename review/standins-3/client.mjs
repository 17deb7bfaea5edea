// Stand-in of a client: a connection that sends requests and reads their responses in order.
import { connect } from 'node:net';

const HEAD_END = '\r\n\r\n';
const LAST_CHUNK = '0\r\n\r\n';

/** Builds a request in the platform's format. */
export function buildRequest({ body = '', deadlineMs, headers = {}, id, method = 'POST', path }) {
  const all = {
    Host: 'routes.example',
    'Attempt-Id': id,
    'Deadline-Ms': deadlineMs,
    Authorization: 'Token key-1',
    'Content-Length': Buffer.byteLength(body),
    ...headers,
  };
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}`);
  return `${method} ${path} HTTP/1.1\r\n${lines.join('\r\n')}${HEAD_END}${body}`;
}

/** One connection of a client. Several requests may wait for their responses, which come in order. */
export class ClientConnection {
  _received = '';
  _waiting = [];
  end = undefined;

  constructor(port) {
    this._socket = connect(port, '127.0.0.1');
    this._socket.setNoDelay(true);
    this._socket.on('data', (chunk) => {
      this._received += chunk.toString('latin1');
      this._readResponses();
    });
    this._socket.on('error', ({ code }) => {
      this.end ??= code;
    });
    this._socket.on('close', () => {
      this.end ??= 'closed';
      for (const { resolve } of this._waiting.splice(0))
        resolve({ ...parseHead(this._received), isComplete: false, end: this.end, body: this._received });
    });
  }

  /** Sends a request. Resolves to its response, or to what there is of it when the connection ends. */
  send(text) {
    return new Promise((resolve) => {
      this._waiting.push({ resolve });
      this._socket.write(text);
    });
  }

  /** Closes the connection, as a client does that waits no longer. */
  close() {
    this.end ??= 'left';
    this._socket.destroy();
  }

  _readResponses() {
    while (this._waiting.length > 0) {
      const length = findResponseLength(this._received);
      if (length === undefined) return;
      const head = parseHead(this._received);
      const body = this._received.slice(this._received.indexOf(HEAD_END) + HEAD_END.length, length);
      this._received = this._received.slice(length);
      this._waiting.shift().resolve({ ...head, isComplete: true, end: 'open', body });
    }
  }
}

/** Sends one request on a connection of its own. */
export async function sendAlone(port, text, patienceMs) {
  const connection = new ClientConnection(port);
  const timer = setTimeout(() => connection.close(), patienceMs);
  const response = await connection.send(text);
  clearTimeout(timer);
  connection.close();
  return response;
}

function parseHead(text) {
  const end = text.indexOf(HEAD_END);
  if (end < 0) return { status: 0, headers: {} };
  const [start = '', ...lines] = text.slice(0, end).split('\r\n');
  const headers = {};
  for (const line of lines) {
    const colon = line.indexOf(':');
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
  }
  return { status: Number(start.split(' ')[1]), headers };
}

/** Finds the length of the first response, by its length or its last chunk; `undefined` until it is complete. */
function findResponseLength(text) {
  const end = text.indexOf(HEAD_END);
  if (end < 0) return undefined;
  const { headers } = parseHead(text);
  const start = end + HEAD_END.length;
  if (headers['transfer-encoding'] !== 'chunked') {
    const length = start + Number(headers['content-length'] ?? 0);
    return text.length >= length ? length : undefined;
  }
  let position = start;
  for (;;) {
    const lineEnd = text.indexOf('\r\n', position);
    if (lineEnd < 0) return undefined;
    const size = Number.parseInt(text.slice(position, lineEnd), 16);
    if (size === 0) {
      const last = position + LAST_CHUNK.length;
      return text.length >= last ? last : undefined;
    }
    position = lineEnd + 2 + size + 2;
    if (position > text.length) return undefined;
  }
}
