import type { IHostPresence } from '../common/fleet/Types.js';
import type { INewsNetwork, INewsNetworkContext } from '../common/news/Types.js';
import { createAskForNews, createNewsHandlers } from './NewsMessages.js';
import { createPeerClient, startPeerServer, type IPeerServer } from './PeerRpc.js';

/** Options of the network between hosts. */
export interface INewsNetworkOptions {
  /** Id of this host. */
  host: string;
  ip: string;
  port: number;
}

/**
 * Creates the network in which hosts ask one another for news of the store, by JSON-RPC over kept connections, and open
 * connections to endpoints for one another.
 * @example
 * const network = createNewsNetwork({ host: 'host-1', ip: '10.0.0.1', port: 7355 }, context);
 * await network.startListening();
 */
export function createNewsNetwork(
  { host, ip, port }: INewsNetworkOptions,
  { findHost, handleQuestion, lamport, tunnels }: INewsNetworkContext,
): INewsNetwork {
  const findAddress = (id: string): IHostPresence['address'] => findHost(id)?.address;
  const client = createPeerClient({ host, lamport, findAddress });
  let server: IPeerServer | undefined;
  return {
    askForNews: createAskForNews(client.send),
    startListening: async () => {
      server = await startPeerServer({
        host,
        lamport,
        ip,
        port,
        handlers: createNewsHandlers(handleQuestion),
        tunnels,
      });
    },
    drainTunnels: () => server?.drainTunnels() ?? Promise.resolve(),
    close: () => {
      void server?.close();
      void client.close();
    },
  };
}
