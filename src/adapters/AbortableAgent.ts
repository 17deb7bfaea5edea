import { Agent, type Dispatcher } from 'undici';
import type { IResponseHandler } from './ResponseHandler.js';
import { failWhileUnsent, UnsentRequestError } from './UnsentRequest.js';

/**
 * Options of a request to be sent, with the signal that the methods of undici pass on beside those it declares. The
 * `withdrawal` ends the request only as long as nothing of it has been sent.
 */
export type RequestOptions = Dispatcher.DispatchOptions & { signal?: unknown; withdrawal?: unknown };

/** Agent whose requests fail as soon as their signal is aborted, also while they wait for a connection. */
export class AbortableAgent extends Agent {
  public override dispatch(
    options: RequestOptions & Agent.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    if (failIfAborted(options, handler)) return true;
    const signals = listSignals(options);
    return super.dispatch(options, signals.length > 0 ? failWhileUnsent(handler, signals) : handler);
  }
}

/**
 * Fails a request that is already aborted; returns whether it is.
 * @example
 * if (failIfAborted(options, handler)) return true; // in `dispatch`: the next request may follow at once
 */
export function failIfAborted(options: RequestOptions, handler: Dispatcher.DispatchHandler): boolean {
  const aborted = listSignals(options).find((signal) => signal.aborted);
  if (!aborted) return false;
  (handler as unknown as IResponseHandler).onError?.(new UnsentRequestError({ cause: aborted.reason }));
  return true;
}

function listSignals({ signal, withdrawal }: RequestOptions): AbortSignal[] {
  return [signal, withdrawal].filter((candidate) => candidate instanceof AbortSignal);
}
