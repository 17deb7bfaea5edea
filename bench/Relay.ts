import { connect, createServer, type AddressInfo, type Socket } from 'node:net';

/**
 * Bare TCP relay to one port, a process of its own: the least that a hop through Node.js costs on
 * this machine, as a baseline for the router's cost.
 */
const targetPort = Number(process.argv[2]);
const server = createServer((caller) => {
  const target = connect(targetPort, '127.0.0.1');
  joinSockets(caller, target);
  joinSockets(target, caller);
});
server.listen(0, '127.0.0.1', () => {
  const { port } = server.address() as AddressInfo;
  process.stdout.write(`${JSON.stringify({ address: `http://127.0.0.1:${port}` })}\n`);
});

function joinSockets(from: Socket, to: Socket): void {
  from.setNoDelay();
  from.on('data', (bytes) => to.write(bytes));
  from.on('error', () => from.destroy());
  from.on('close', () => to.destroy());
}
