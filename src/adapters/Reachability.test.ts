import { createServer, type AddressInfo } from 'node:net';
import test from 'ava';
import type { IAttemptCall } from '../common/request/Types.js';
import { createTestEndpoint } from '../testing/EntryFixtures.js';
import { checkReachable } from './Reachability.js';

// Guards against whole answers that count as broken because the address of their endpoint is an IPv6 one.
test('an endpoint that accepts connections at an IPv6 address is reachable', async (t) => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '::1', resolve));
  const address = `http://[::1]:${(server.address() as AddressInfo).port}`;
  const endpoint = createTestEndpoint('p-1', { address });
  const check = await checkReachable({ endpoint } as IAttemptCall, 0);
  server.close();
  t.is(check, 'unknown');
});
