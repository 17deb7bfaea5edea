import type { Server } from 'node:http';
import type { IClock, Millis } from '../common/Types.js';

/** Time between two looks for connections that became idle during a drain. */
const IDLE_CHECK_MS: Millis = 100;

/** Stops accepting connections and resolves when every open response has ended. */
export async function drainServer(server: Server, clock: IClock): Promise<void> {
  let hasClosed = false;
  await new Promise<void>((resolve) => {
    server.close(() => {
      hasClosed = true;
      resolve();
    });
    const closeIdle = (): void => {
      if (hasClosed) return;
      // A connection whose response began before the drain stays open after it.
      server.closeIdleConnections();
      clock.schedule(IDLE_CHECK_MS, closeIdle);
    };
    closeIdle();
  });
}
