import type { Dispatcher } from 'undici';
import { ForwardingHandler, type AbortRequest, type IResponseHandler } from './ResponseHandler.js';

const UNSENT_CODE = 'ERR_REQUEST_UNSENT';

/** A request that was aborted while it waited for a connection. No byte of it is sent, then or later. */
export class UnsentRequestError extends Error {
  public readonly code = UNSENT_CODE;

  constructor(options?: ErrorOptions) {
    super('The request was aborted while it waited for a connection.', options);
    this.name = 'UnsentRequestError';
  }
}

/** Codes of errors that occur before any byte of a request is sent, besides those of the system call. */
const UNSENT_CODES: ReadonlySet<unknown> = new Set([UNSENT_CODE, 'UND_ERR_CONNECT_TIMEOUT']);

/**
 * Tells whether a request failed before any byte of it was sent. Codes of the system such as ETIMEDOUT also occur on
 * connections that break later, so the system call decides about these.
 * @example
 * isUnsent(Object.assign(new Error(), { code: 'ECONNREFUSED', syscall: 'connect' })); // true
 */
export function isUnsent(error: unknown): boolean {
  if (!(error instanceof Error)) return false;
  const { code, syscall } = error as NodeJS.ErrnoException;
  return UNSENT_CODES.has(code) || syscall === 'connect';
}

/** Codes of errors with which undici refuses to send a request. */
const INVALID_REQUEST_CODES: ReadonlySet<unknown> = new Set(['UND_ERR_INVALID_ARG', 'UND_ERR_NOT_SUPPORTED']);

/**
 * Tells whether a request was not sent because it is not valid, which says nothing of the other side.
 * @example
 * const headers = ['host', 'a.example', 'host', 'b.example'];
 * await agent.request({ origin, path, method: 'GET', headers }).catch(isInvalidRequest); // true
 */
export function isInvalidRequest(error: unknown): boolean {
  return error instanceof Error && INVALID_REQUEST_CODES.has((error as NodeJS.ErrnoException).code);
}

/**
 * Wraps the handler of a request so that it fails with an `UnsentRequestError` as soon as one of the signals is aborted
 * while it waits for a connection. undici itself looks at the signal only once it has a connection, and one to a host
 * that does not respond may take long, or wait for others in the pool.
 * @example
 * agent.dispatch(options, failWhileUnsent(handler, [AbortSignal.timeout(1000)]));
 */
export function failWhileUnsent(
  handler: Dispatcher.DispatchHandler,
  signals: readonly AbortSignal[],
): Dispatcher.DispatchHandler {
  return new UnsentHandler(handler as unknown as IResponseHandler, signals);
}

/** Follows a request until it is sent. What undici tells of a request that has failed before is dropped. */
class UnsentHandler extends ForwardingHandler {
  private _hasFailed = false;

  constructor(
    handler: IResponseHandler,
    private readonly _signals: readonly AbortSignal[],
  ) {
    super(handler);
    for (const signal of _signals) signal.addEventListener('abort', this._fail, { once: true });
  }

  public override onConnect(abort: AbortRequest, ...args: unknown[]): void {
    this._stopListening();
    if (this._hasFailed) abort();
    else super.onConnect(abort, ...args);
  }

  public override onError(error: Error): void {
    this._stopListening();
    if (!this._hasFailed) super.onError(error);
  }

  private _stopListening(): void {
    for (const signal of this._signals) signal.removeEventListener('abort', this._fail);
  }

  private readonly _fail = (): void => {
    this._hasFailed = true;
    this._stopListening();
    const cause: unknown = this._signals.find(({ aborted }) => aborted)?.reason;
    super.onError(new UnsentRequestError({ cause }));
  };
}
