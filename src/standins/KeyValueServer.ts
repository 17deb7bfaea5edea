import type { IncomingMessage, ServerResponse } from 'node:http';
import * as z from 'zod';
import { readBody, sendJson, startServer, waitFor } from './HttpTools.js';
import type { IStandIn } from './Types.js';

/** Faults of the key-value stand-in, set through `PUT /faults`. */
export interface IKeyValueFaults {
  /** `down`: every call gets a 503 response. `silent`: no call gets a response. */
  mode: 'up' | 'down' | 'silent';
  /** Time before a call is processed. */
  delayMs: number;
  /** Share of writes, 0 to 1, that take effect but whose connection is closed instead of a reply. */
  lostReplyShare: number;
}

/** Number of calls that the stand-in processed, by operation. */
export type KeyValueCounts = Record<'get' | 'put' | 'delete' | 'watch', number>;

/** Options of the key-value stand-in. */
export interface IKeyValueOptions {
  port?: number;
  /** Random numbers, 0 to 1, that decide which replies are lost. */
  random?: () => number;
}

/** A running key-value stand-in, with its faults and counts. */
export interface IKeyValueStandIn extends IStandIn {
  faults: IKeyValueFaults;
  counts: KeyValueCounts;
}

interface IStoredEntry {
  value: string;
  version: number;
  expiryTimer: NodeJS.Timeout | undefined;
}

const PUT_SCHEMA = z.object({
  value: z.string().max(1_048_576),
  expectedVersion: z.number().int().min(0),
  ttlMs: z.number().positive().optional(),
});

const FAULTS_SCHEMA = z
  .object({ mode: z.enum(['up', 'down', 'silent']), delayMs: z.number(), lostReplyShare: z.number() })
  .partial();

/** Starts a fake key-value service with compare-and-swap writes, entry expiry and watches by long polling. */
export async function startKeyValueServer(options: IKeyValueOptions = {}): Promise<IKeyValueStandIn> {
  const service = new KeyValueService(options.random ?? Math.random);
  const server = await startServer((request, response) => {
    void service.handle(request, response);
  }, options.port);
  return { ...server, faults: service.faults, counts: service.counts };
}

class KeyValueService {
  private readonly _entries = new Map<string, IStoredEntry>();
  private readonly _watchers = new Map<string, Set<() => void>>();
  private _lastVersion = 0;

  public readonly faults: IKeyValueFaults = { mode: 'up', delayMs: 0, lostReplyShare: 0 };
  public readonly counts: KeyValueCounts = { get: 0, put: 0, delete: 0, watch: 0 };

  constructor(private readonly _random: () => number) {}

  public async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store');
    const body = await readBody(request);
    if (url.pathname === '/faults') {
      Object.assign(this.faults, FAULTS_SCHEMA.parse(JSON.parse(body.toString())));
      sendJson(response, 200, this.faults);
      return;
    }
    if (url.pathname === '/counts') {
      sendJson(response, 200, this.counts);
      return;
    }
    if (this.faults.mode === 'silent') return;
    await waitFor(this.faults.delayMs);
    if (this.faults.mode === 'down') {
      sendJson(response, 503, { error: 'unavailable' });
      return;
    }
    this._route(request.method ?? 'GET', url, body, response);
  }

  private _route(method: string, url: URL, body: Buffer, response: ServerResponse): void {
    const [, kind, rawKey = ''] = url.pathname.split('/');
    const key = decodeURIComponent(rawKey);
    if (kind === 'watch') this._watch(key, url.searchParams, response);
    else if (kind !== 'kv') sendJson(response, 404, { error: 'unknown path' });
    else if (method === 'GET') this._get(key, response);
    else if (method === 'PUT') this._put(key, body, response);
    else if (method === 'DELETE')
      this._delete(key, Number(url.searchParams.get('expectedVersion')), response);
    else sendJson(response, 405, { error: 'unknown method' });
  }

  private _get(key: string, response: ServerResponse): void {
    this.counts.get += 1;
    const entry = this._entries.get(key);
    if (entry) sendJson(response, 200, { value: entry.value, version: entry.version });
    else sendJson(response, 404, {});
  }

  private _put(key: string, body: Buffer, response: ServerResponse): void {
    this.counts.put += 1;
    const put = PUT_SCHEMA.safeParse(JSON.parse(body.toString()));
    if (!put.success) {
      sendJson(response, 400, { error: put.error.message });
      return;
    }
    if (!this._hasVersion(key, put.data.expectedVersion)) {
      this._sendConflict(key, response);
      return;
    }
    const version = this._write(key, put.data.value, put.data.ttlMs);
    this._sendWriteReply(response, { version });
  }

  private _delete(key: string, expectedVersion: number, response: ServerResponse): void {
    this.counts.delete += 1;
    if (!this._hasVersion(key, expectedVersion)) {
      this._sendConflict(key, response);
      return;
    }
    this._remove(key);
    this._sendWriteReply(response, {});
  }

  private _watch(key: string, query: URLSearchParams, response: ServerResponse): void {
    this.counts.watch += 1;
    const afterVersion = Number(query.get('after'));
    const watchers = this._watchers.get(key) ?? new Set();
    this._watchers.set(key, watchers);
    const stopWatching = (): void => {
      watchers.delete(sendIfChanged);
      clearTimeout(timer);
    };
    const sendIfChanged = (): void => {
      const entry = this._entries.get(key);
      if (!entry || entry.version <= afterVersion || this.faults.mode !== 'up') return;
      stopWatching();
      sendJson(response, 200, { value: entry.value, version: entry.version });
    };
    const timer = setTimeout(
      () => {
        stopWatching();
        response.writeHead(204).end();
      },
      Number(query.get('waitMs')),
    );
    response.on('close', stopWatching);
    watchers.add(sendIfChanged);
    sendIfChanged();
  }

  private _hasVersion(key: string, expected: number): boolean {
    return (this._entries.get(key)?.version ?? 0) === expected;
  }

  private _write(key: string, value: string, ttlMs: number | undefined): number {
    this._remove(key);
    this._lastVersion += 1;
    const version = this._lastVersion;
    const expiryTimer =
      ttlMs === undefined
        ? undefined
        : setTimeout(() => {
            this._entries.delete(key);
          }, ttlMs);
    this._entries.set(key, { value, version, expiryTimer });
    for (const notify of [...(this._watchers.get(key) ?? [])]) notify();
    return version;
  }

  private _remove(key: string): void {
    clearTimeout(this._entries.get(key)?.expiryTimer);
    this._entries.delete(key);
  }

  private _sendConflict(key: string, response: ServerResponse): void {
    const entry = this._entries.get(key);
    const current = entry ? { value: entry.value, version: entry.version } : null;
    sendJson(response, 409, { current });
  }

  private _sendWriteReply(response: ServerResponse, body: unknown): void {
    if (this._random() < this.faults.lostReplyShare) response.destroy();
    else sendJson(response, 200, body);
  }
}
