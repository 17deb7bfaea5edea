import { connect, createServer, type AddressInfo, type Socket } from 'node:net';

/**
 * Process that relays TCP connections to one port. Its processor time is the lowest cost of a hop through
 * Node.js on this machine, and so the baseline for the cost of the router.
 */
const targetPort = Number(process.argv[2]);
const server = createServer((caller) => {
  const target = connect(targetPort, '127.0.0.1');
  forwardBytes(caller, target);
  forwardBytes(target, caller);
});
server.listen(0, '127.0.0.1', () => {
  const { port } = server.address() as AddressInfo;
  process.stdout.write(`${JSON.stringify({ address: `http://127.0.0.1:${port}` })}\n`);
});

function forwardBytes(from: Socket, to: Socket): void {
  from.setNoDelay();
  from.on('data', (bytes) => to.write(bytes));
  from.on('error', () => from.destroy());
  from.on('close', () => to.destroy());
}
