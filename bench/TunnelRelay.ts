import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { startTunnels } from '../src/adapters/Tunnels.js';

/** Process that offers tunnels as a host does, to any host and any endpoint, and does nothing else. */
const server = createServer();
startTunnels(server, {
  isHost: () => true,
  isEndpoint: () => true,
  isEndpointOpen: () => true,
  isServing: () => true,
  onRefused: (host, target, reason) => {
    process.stderr.write(`refused ${host} a tunnel to ${target}: ${reason}\n`);
  },
});
server.listen(0, '127.0.0.1', () => {
  const { port } = server.address() as AddressInfo;
  process.stdout.write(`${JSON.stringify({ address: `127.0.0.1:${port}` })}\n`);
});
