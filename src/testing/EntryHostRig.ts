import type { IncomingMessage, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import { buildEditorOptions } from '../adapters/ConfigStore.js';
import { createHttpStore } from '../adapters/HttpStore.js';
import { DEMO_DOCUMENT, DEMO_ACCOUNT_KEY } from '../cli/quickstart/Documents.js';
import type { Blackboard } from '../common/blackboard/Blackboard.js';
import { applyEdit } from '../common/config/ConfigEditor.js';
import type { ITimelineEvent } from '../common/timeline/Types.js';
import { EntryHost } from '../daemons/EntryHost.js';
import { parseSettings } from '../daemons/Settings.js';
import { startHostListServer } from '../standins/HostListServer.js';
import { readBody, startServer } from '../standins/HttpTools.js';
import { startKeyValueServer } from '../standins/KeyValueServer.js';
import type { IStandIn } from '../standins/Types.js';

export const PEER_KEY = 'a-shared-key-of-hosts';

/** Writes a scripted endpoint's response to one call. */
export type AnswerCall = (body: Buffer, response: ServerResponse, request: IncomingMessage) => void;

/** An entry host that runs in this process, with a scripted engine and a scripted plain service as endpoints. */
export class EntryHostRig {
  public readonly logs: string[] = [];
  public readonly events: ITimelineEvent[] = [];
  public port = 0;
  public answerChat: AnswerCall = createTokenAnswer(['Hello', ' there']);
  public answerPlain: AnswerCall = (body, response) => {
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ length: body.length }));
  };
  public readonly chatBodies: string[] = [];
  public plainCalls = 0;
  public readonly host: EntryHost;

  private constructor(
    storeAddress: string,
    hostListAddress: string,
    private readonly _standIns: IStandIn[],
  ) {
    const settings = parseSettings(
      `[host]\nid = host-a\nzone = a\nport = 0\npeer_port = 0\npeer_key = ${PEER_KEY}\n
[limits]\nmax_body_bytes = 20000\nbody_timeout_ms = 600\n
[platform]\nstore = ${storeAddress}\nhost_list = ${hostListAddress}\nhost_list_interval_ms = 100\n`,
    ).unwrapOrElse((error) => {
      throw new Error(error);
    });
    this.host = new EntryHost({
      settings,
      log: (level, message, fields) => this.logs.push(JSON.stringify({ level, message, ...fields })),
      writeEvent: (event) => this.events.push(event),
    });
  }

  public static async start(document = DEMO_DOCUMENT): Promise<EntryHostRig> {
    const store = await startKeyValueServer();
    const hostList = await startHostListServer();
    const rig = new EntryHostRig(store.address, hostList.address, [store, hostList]);
    const engine = await startServer((request, response) => void rig._serveChat(request, response));
    const plain = await startServer((request, response) => void rig._servePlain(request, response));
    rig._standIns.push(engine, plain);
    const commonFields = { zone: 'a', state: 'live' as const };
    hostList.machines.push(
      ...[
        {
          ...commonFields,
          id: 'engine',
          role: 'engine' as const,
          address: engine.address,
          service: 'deposits',
        },
        { ...commonFields, id: 'ledger', role: 'plain' as const, address: plain.address, service: 'ledger' },
      ].map((machine) => ({ ...machine, versions: machine.role === 'engine' ? ['small-1', 'large-1'] : [] })),
    );
    const edit = { text: document, author: 'test', editedAt: '2026-01-01T00:00:00Z', baseNumber: 0 };
    await applyEdit(buildEditorOptions(createHttpStore({ address: store.address })), edit);
    rig.port = await rig.host.start();
    await rig.waitUntil(() => rig.isReady());
    await rig.waitUntil(async () => (await rig.sendRaw(rig.formatChat({}))).includes(' 200 '));
    rig.chatBodies.length = 0;
    return rig;
  }

  public get board(): Blackboard {
    return Reflect.get(this.host, '_board') as Blackboard;
  }

  public get url(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  public async isReady(): Promise<boolean> {
    return (await this.sendRaw('GET /health HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n')).includes(
      ' 200 ',
    );
  }

  /** Formats an HTTP request with the client account's key and `connection: close`. */
  public formatRequest(
    requestLine: string,
    body: string | Buffer = '',
    headers: Readonly<Record<string, string>> = {},
  ): string {
    const allHeaders = {
      host: 'h',
      authorization: `Bearer ${DEMO_ACCOUNT_KEY}`,
      connection: 'close',
      'content-length': String(Buffer.byteLength(body)),
      ...headers,
    };
    const lines = Object.entries(allHeaders).map(([name, value]) => `${name}: ${value}`);
    return `${requestLine} HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n${body.toString('latin1' as never)}`;
  }

  public formatChat(patch: object, headers: Readonly<Record<string, string>> = {}): string {
    const body = { model: 'large-1', messages: [{ role: 'user', content: 'Read it.' }], ...patch };
    return this.formatRequest('POST /v1/chat/completions', JSON.stringify(body), headers);
  }

  /**
   * Sends a text, or several pieces one after another, on a new connection. Resolves with everything received
   * once the connection closes, at the latest after `timeoutMs`.
   */
  public sendRaw(text: string | Buffer | readonly (string | Buffer)[], timeoutMs = 5000): Promise<string> {
    const pieces = Array.isArray(text) ? (text as (string | Buffer)[]) : [text as string | Buffer];
    return new Promise((resolve) => {
      const socket = connect(this.port, '127.0.0.1');
      const parts: Buffer[] = [];
      const timer = setTimeout(() => socket.destroy(), timeoutMs);
      socket.on('data', (part) => parts.push(part));
      socket.on('error', () => undefined);
      socket.once('close', () => {
        clearTimeout(timer);
        resolve(Buffer.concat(parts).toString());
      });
      for (const piece of pieces) socket.write(piece);
    });
  }

  /**
   * Waits until no request or attempt is left and no endpoint has work in flight. Does not fail if that takes
   * more than 10 s: the result shows what is left.
   */
  public async waitUntilIdle(): Promise<object> {
    await this.waitUntil(() => Promise.resolve(isIdle(this.board))).catch(() => undefined);
    const { attempts, endpoints, requests } = this.board;
    return {
      requests: [...requests.list()].length,
      attempts: [...attempts.list()].length,
      inFlight: [...endpoints.list()].map(({ inFlight }) => inFlight),
      isReady: await this.isReady(),
    };
  }

  public async waitUntil(check: () => Promise<boolean>): Promise<void> {
    const deadline = Date.now() + 10_000;
    while (!(await check())) {
      if (Date.now() > deadline) throw new Error('The condition was not met within 10 s.');
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }

  public async close(): Promise<void> {
    this.host.dispose();
    await Promise.all(this._standIns.map((standIn) => standIn.close()));
  }

  private async _serveChat(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request);
    if (request.url !== '/v1/chat/completions') {
      response.writeHead(404).end();
      return;
    }
    this.chatBodies.push(body.toString());
    this.answerChat(body, response, request);
  }

  private async _servePlain(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request);
    this.plainCalls += 1;
    this.answerPlain(body, response, request);
  }
}

function isIdle({ attempts, endpoints, requests }: Blackboard): boolean {
  const isBusy = [...endpoints.list()].some(({ inFlight, inFlightTokens }) => inFlight + inFlightTokens > 0);
  return !isBusy && [...requests.list()].length === 0 && [...attempts.list()].length === 0;
}

/** Creates a response of server-sent events, one for each chunk, with the run's id added to each chunk. */
export function createChunkAnswer(chunks: readonly object[], ending = 'data: [DONE]\n\n'): AnswerCall {
  return (_body, response, request) => {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    const id = request.headers['x-run-id'];
    for (const chunk of chunks) response.write(`data: ${JSON.stringify({ id, ...chunk })}\n\n`);
    response.end(ending);
  };
}

/** Creates a response of one chunk for each token, one with the finish reason, and one with the usage. */
export function createTokenAnswer(tokens: readonly string[]): AnswerCall {
  const usage = { prompt_tokens: 3, completion_tokens: tokens.length, total_tokens: 3 + tokens.length };
  return createChunkAnswer([
    ...tokens.map((content) => ({ choices: [{ index: 0, delta: { content }, finish_reason: null }] })),
    { choices: [{ index: 0, delta: {}, finish_reason: 'stop' }] },
    { choices: [], usage },
  ]);
}

/** Replaces or removes the parts of a reply that differ from run to run, and normalizes its line endings. */
export function maskReply(reply: string): string {
  return reply
    .replace(/[0-9a-f]{8}-[0-9a-f-]{27}/g, 'ID')
    .replace(/date: [^\r]*\r\n/gi, '')
    .replace(/"created":\d+/g, '"created":0')
    .replace(/\r\n/g, '\n');
}
