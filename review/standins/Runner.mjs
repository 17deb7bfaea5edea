import { createServer } from 'node:http';

/** A small stand-in of a runner. `answer(call, response, runner)` answers the requests that it runs. */
export class Runner {
  constructor({ id, service, answer, models = [], slots = 64, record = () => undefined, zone = 'zone-a' }) {
    Object.assign(this, { id, service, answer, models, slots, record, zone, runs: [], version: 'v1' });
    this.born = Date.now();
    this.active = new Map();
    this.server = createServer((request, response) => void this._serve(request, response));
    this.server.keepAliveTimeout = 30_000;
  }

  async start() {
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
    return this;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** What the runner says of itself in the store. */
  announce(state = 'ready') {
    const { address, born, models, service, slots, version, zone } = this;
    return {
      service,
      address,
      zone,
      version,
      slots,
      state,
      coldRemainingMs: 0,
      born,
      seq: 1,
      ...(models.length > 0
        ? { stage: 'both', models: models.map((name) => ({ name, version: 1, adapters: [] })) }
        : {}),
    };
  }

  async _serve(request, response) {
    if (request.url === '/-/report') {
      const runs = [...this.active.values()].map(({ id, events }) => [id, 100, events, 5]);
      const report = {
        stage: 'both',
        busy: false,
        born: this.born,
        seq: 1,
        numWaiting: 0,
        numRunning: runs.length,
        runs,
      };
      response.writeHead(200, { 'content-type': 'application/json' });
      response.end(JSON.stringify(report));
      return;
    }
    if (request.url === '/health') {
      response.writeHead(200, { 'instance-id': this.id, 'content-length': 0 });
      response.end();
      return;
    }
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const { headers, method, url } = request;
    const call = {
      id: headers['attempt-id'] ?? '',
      method,
      path: url,
      headers,
      body: Buffer.concat(chunks).toString('latin1'),
      at: Date.now(),
    };
    const expected = headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'attempt-id': call.id, 'instance-id': this.id, 'content-length': 0 });
      response.end();
      return;
    }
    this.runs.push(call);
    this.record('run', { runner: this.id, ...call, headers: undefined, body: undefined });
    const run = { id: call.id, events: 0 };
    this.active.set(run, run);
    response.on('close', () => this.active.delete(run));
    await this.answer(call, response, this, run);
  }
}

/** The headers by which a runner marks its answers. */
export function buildAnswerHeaders(call, runner) {
  return { 'Attempt-Id': call.id, 'Response-Stamp': `stamp-${runner.id}-${call.id}` };
}

/** Answers with a whole body. */
export function sendAnswer(
  call,
  response,
  runner,
  { status = 200, body = `answer to ${call.id}`, headers = {} } = {},
) {
  response.writeHead(status, {
    ...buildAnswerHeaders(call, runner),
    'Content-Length': Buffer.byteLength(body),
    ...headers,
  });
  response.end(body);
}

/** Formats an event of a stream. */
export function formatEvent(number, text = `piece ${number}`) {
  return `id: ${number}\ndata: ${text}\n\n`;
}
