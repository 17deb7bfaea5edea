import { Agent, type Dispatcher } from 'undici';
import type { IResponseHandler } from './ResponseHandler.js';
import { failWhileUnsent, UnsentRequestError } from './UnsentRequest.js';

/** Options of a request to be sent, with the signal that the methods of undici pass on beside those it declares. */
export type RequestOptions = Dispatcher.DispatchOptions & { signal?: unknown };

/** Agent whose requests fail as soon as their signal is aborted, also while they wait for a connection. */
export class AbortableAgent extends Agent {
  public override dispatch(
    options: RequestOptions & Agent.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    if (failIfAborted(options, handler)) return true;
    const { signal } = options;
    return super.dispatch(
      options,
      signal instanceof AbortSignal ? failWhileUnsent(handler, signal) : handler,
    );
  }
}

/**
 * Fails a request that is already aborted; returns whether it is.
 * @example
 * if (failIfAborted(options, handler)) return true; // in `dispatch`: the next request may follow at once
 */
export function failIfAborted({ signal }: RequestOptions, handler: Dispatcher.DispatchHandler): boolean {
  if (!(signal instanceof AbortSignal) || !signal.aborted) return false;
  (handler as unknown as IResponseHandler).onError?.(new UnsentRequestError({ cause: signal.reason }));
  return true;
}
