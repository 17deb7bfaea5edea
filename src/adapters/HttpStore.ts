import { Result, Unit } from 'true-myth';
import { request as sendRequest, type Dispatcher } from 'undici';
import * as z from 'zod';
import type { IStore, IStoreValue, StoreError } from '../common/coordination/Types.js';
import type { Millis } from '../common/Types.js';
import { DEFAULT_AGENT } from './HttpAgent.js';
import { readLimitedText } from './LimitedBody.js';
import { isUnsent } from './UnsentRequest.js';

/** Options of the client of the key-value service. */
export interface IHttpStoreOptions {
  /** Base address, `http://ip:port`. */
  address: string;
  /** Time after which a call fails; a watch is given its own waiting time in addition. Default 1000. */
  timeoutMs?: Millis;
  /** Called before each call, for metrics. */
  onCall?: (operation: StoreOperation) => void;
  dispatcher?: Dispatcher;
}

/** Operations of the key-value service. Each call counts against the rate limits of the service. */
export type StoreOperation = 'get' | 'put' | 'delete' | 'watch';

/** Largest reply that is read. */
const MAX_REPLY_BYTES = 8_388_608;

const VALUE_SCHEMA = z.object({ value: z.string(), version: z.number().int() });
const VERSION_SCHEMA = z.object({ version: z.number().int() });
const CONFLICT_SCHEMA = z.object({ current: VALUE_SCHEMA.nullable() });

interface IStoreReply {
  status: number;
  body: unknown;
}

/** Creates a store that calls the HTTP interface of the platform's key-value service. */
export function createHttpStore(options: IHttpStoreOptions): IStore {
  const client = new StoreClient(options);
  return {
    get: (key) => client.get(key),
    put: (key, value, putOptions) => client.put(key, value, putOptions.expectedVersion, putOptions.ttlMs),
    delete: (key, expectedVersion) => client.delete(key, expectedVersion),
    watch: (key, afterVersion, timeoutMs) => client.watch(key, afterVersion, timeoutMs),
  };
}

class StoreClient {
  private readonly _timeoutMs: Millis;

  constructor(private readonly _options: IHttpStoreOptions) {
    this._timeoutMs = _options.timeoutMs ?? 1000;
  }

  public async get(key: string): Promise<Result<IStoreValue | undefined, StoreError>> {
    const result = await this._sendCall('get', 'GET', `/kv/${encodeURIComponent(key)}`);
    return result.andThen((reply) => decodeReadReply(reply));
  }

  public async put(
    key: string,
    value: string,
    expectedVersion: number,
    ttlMs: Millis | undefined,
  ): Promise<Result<number, StoreError>> {
    const body = { value, expectedVersion, ...(ttlMs === undefined ? {} : { ttlMs }) };
    const result = await this._sendCall('put', 'PUT', `/kv/${encodeURIComponent(key)}`, body);
    return result.andThen((reply) => decodeWriteReply(reply, (body) => VERSION_SCHEMA.parse(body).version));
  }

  public async delete(key: string, expectedVersion: number): Promise<Result<Unit, StoreError>> {
    const path = `/kv/${encodeURIComponent(key)}?expectedVersion=${expectedVersion}`;
    const result = await this._sendCall('delete', 'DELETE', path);
    return result.andThen((reply) => decodeWriteReply(reply, () => Unit));
  }

  public async watch(
    key: string,
    afterVersion: number,
    timeoutMs: Millis,
  ): Promise<Result<IStoreValue | undefined, StoreError>> {
    const path = `/watch/${encodeURIComponent(key)}?after=${afterVersion}&waitMs=${Math.round(timeoutMs)}`;
    const result = await this._sendCall('watch', 'GET', path, undefined, timeoutMs + this._timeoutMs);
    return result.andThen((reply) => decodeReadReply(reply));
  }

  private async _sendCall(
    operation: StoreOperation,
    method: 'GET' | 'PUT' | 'DELETE',
    path: string,
    body?: unknown,
    timeoutMs = this._timeoutMs,
  ): Promise<Result<IStoreReply, StoreError>> {
    this._options.onCall?.(operation);
    try {
      const reply = await sendRequest(this._options.address + path, {
        method,
        body: body === undefined ? null : JSON.stringify(body),
        headers: { 'content-type': 'application/json' },
        signal: AbortSignal.timeout(timeoutMs),
        dispatcher: this._options.dispatcher ?? DEFAULT_AGENT,
      });
      return Result.ok({ status: reply.statusCode, body: await readJson(reply.body, reply.statusCode) });
    } catch (error) {
      return Result.err(mapCallError(method, error));
    }
  }
}

/**
 * Maps an error thrown during a call to a store error. A failed read has no effect. A failed write may have
 * taken effect, unless it was not sent.
 */
function mapCallError(method: string, error: unknown): StoreError {
  const message = error instanceof Error ? error.message : String(error);
  return { kind: method === 'GET' || isUnsent(error) ? 'unavailable' : 'unknown-outcome', message };
}

async function readJson(body: Dispatcher.ResponseData['body'], status: number): Promise<unknown> {
  const text = await readLimitedText(body, { maxBytes: MAX_REPLY_BYTES });
  return status === 204 || text === '' ? undefined : JSON.parse(text);
}

function decodeReadReply(reply: IStoreReply): Result<IStoreValue | undefined, StoreError> {
  if (reply.status === 404 || reply.status === 204) return Result.ok(undefined);
  const parsed = VALUE_SCHEMA.safeParse(reply.body);
  if (reply.status === 200 && parsed.success) return Result.ok(parsed.data);
  return Result.err({ kind: 'unavailable', message: `The store answered with status ${reply.status}.` });
}

function decodeWriteReply<T>(reply: IStoreReply, decode: (body: unknown) => T): Result<T, StoreError> {
  if (reply.status === 200) {
    try {
      return Result.ok(decode(reply.body));
    } catch {
      return Result.err({ kind: 'unknown-outcome', message: 'The store sent a malformed reply.' });
    }
  }
  if (reply.status === 409) {
    const parsed = CONFLICT_SCHEMA.safeParse(reply.body);
    if (parsed.success) return Result.err({ kind: 'conflict', current: parsed.data.current ?? undefined });
    // The write did not take effect, but a reply that was cut does not tell the current value either.
    return Result.err({ kind: 'unavailable', message: 'The store sent a malformed reply to a conflict.' });
  }
  const kind = reply.status === 503 ? 'unavailable' : 'unknown-outcome';
  return Result.err({ kind, message: `The store answered with status ${reply.status}.` });
}
