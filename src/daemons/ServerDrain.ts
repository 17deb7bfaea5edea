import type { Server } from 'node:http';
import type { IClock, Millis } from '../common/Types.js';

/** Interval at which connections that became idle during a drain are closed. */
const IDLE_CHECK_MS: Millis = 100;

/**
 * Stops accepting connections and resolves when all open responses have ended and all connections are closed.
 */
export async function drainServer(server: Server, clock: IClock): Promise<void> {
  let hasClosed = false;
  await new Promise<void>((resolve) => {
    server.close(() => {
      hasClosed = true;
      resolve();
    });
    const closeIdle = (): void => {
      if (hasClosed) return;
      // `server.close` closes only connections that are idle at that time. A response that began before the
      // drain allows keep-alive, so its connection stays open after the response.
      server.closeIdleConnections();
      clock.schedule(IDLE_CHECK_MS, closeIdle);
    };
    closeIdle();
  });
}
