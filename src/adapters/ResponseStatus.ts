import type { Dispatcher } from 'undici';
import { ResponseStatusError } from './ResponseErrors.js';
import { ForwardingHandler, type AbortRequest, type IResponseHandler } from './ResponseHandler.js';

const MIN_STATUS = 100;
const SWITCHING_PROTOCOLS = 101;

/** Request timeout, misdirected request, too many requests, service unavailable. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Tells whether callers conclude from a status that their call has not run, so that they may send it again.
 * @example
 * isNotRunStatus(503); // true; 502 and 504 say nothing
 */
export function isNotRunStatus(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}

/**
 * Wraps the handler of a request so that it fails at a status that no response to it can have. undici passes such a
 * status on and fails an assertion afterwards, which may cost far more than an error of its own. No request asks for
 * another protocol, so 101 is among them.
 * @example
 * client.dispatch(options, refuseBadStatus(handler)); // `handler` fails with a `ResponseStatusError` at status 000
 */
export function refuseBadStatus(handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
  return new StatusHandler(handler as unknown as IResponseHandler);
}

class StatusHandler extends ForwardingHandler {
  private _abort: AbortRequest | undefined;

  public override onConnect(abort: AbortRequest, ...args: unknown[]): void {
    this._abort = abort;
    super.onConnect(abort, ...args);
  }

  public override onHeaders(status: number, ...args: unknown[]): boolean {
    if (status >= MIN_STATUS && status !== SWITCHING_PROTOCOLS) return super.onHeaders(status, ...args);
    this._abort?.(new ResponseStatusError(status));
    return false;
  }
}
