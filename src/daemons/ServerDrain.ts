import type { Server } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { IClock, Millis } from '../common/Types.js';

/** Interval at which connections that became idle during a drain are closed. */
const IDLE_CHECK_MS: Millis = 100;

/**
 * Stops accepting connections and resolves when all open responses have ended and all connections are closed.
 * `hasUnsent` tells whether bytes of a response that has ended are still to be sent. Node.js counts its connection as
 * idle, and would cut the response.
 * @example
 * await drainServer(server, clock, () => openExchanges.hasUnsentResponse());
 */
export async function drainServer(server: Server, clock: IClock, hasUnsent: () => boolean): Promise<void> {
  let hasClosed = false;
  await new Promise<void>((resolve) => {
    // The method of HTTP servers closes idle connections at once.
    NetServer.prototype.close.call(server, () => {
      hasClosed = true;
      resolve();
    });
    const closeIdle = (): void => {
      if (hasClosed) return;
      // A response that began before the drain allows keep-alive, so its connection stays open after the response.
      if (!hasUnsent()) server.closeIdleConnections();
      clock.schedule(IDLE_CHECK_MS, closeIdle);
    };
    closeIdle();
  });
}
