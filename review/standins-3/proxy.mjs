// A proxy in front of a runner, whose open connections can go silent for good while new ones work.
import { connect, createServer } from 'node:net';

/**
 * Starts a proxy to `address` on a free loopback port. After `silence`, nothing passes on the connections that are open
 * then, neither bytes nor their end, as if something between the two ends had lost track of them.
 */
export async function startProxy(address) {
  const [host, port] = address.split(':');
  const pairs = new Set();
  const server = createServer({ allowHalfOpen: true }, (near) => {
    const far = connect({ host, port: Number(port), allowHalfOpen: true });
    const pair = { near, far, isSilent: false };
    pairs.add(pair);
    join(pair, near, far);
    join(pair, far, near);
  });
  const join = (pair, from, to) => {
    from.setNoDelay(true);
    from.on('data', (chunk) => {
      if (!pair.isSilent) to.write(chunk);
    });
    from.on('end', () => {
      if (!pair.isSilent) to.end();
    });
    from.on('error', () => undefined);
    from.on('close', () => {
      if (pair.isSilent) return;
      pairs.delete(pair);
      to.destroy();
    });
  };
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Silences the connections that are open. Returns their number. */
    silence: () => {
      for (const pair of pairs) pair.isSilent = true;
      return pairs.size;
    },
    close: () => {
      for (const { far, near } of pairs) {
        near.destroy();
        far.destroy();
      }
      server.close();
    },
  };
}
