import test from 'ava';
import type { GossipUpdate, IHostUpdate } from '../common/coordination/Updates.js';
import { ok } from 'node:assert';
import { createGossipHandlers, decodeGossipMessage, encodeGossipMessage } from './GossipMessages.js';

const FROM: IHostUpdate = {
  kind: 'host',
  id: 'host-100',
  address: '10.20.30.40:7000',
  zone: 'kuttanad-1',
  state: 'alive',
  incarnation: 1_796_370_000,
};
const UPDATES: GossipUpdate[] = [
  { ...FROM, id: 'host-7', state: 'suspect' },
  { kind: 'endpoint', id: 'engine-77', condition: 'leaving', incarnation: 3 },
];

// Guards against a change of the message format between hosts of two releases.
test('a message keeps its form on the wire and its content', (t) => {
  const message = { from: FROM, updates: UPDATES, revision: 4711 };
  const encoded = JSON.stringify(encodeGossipMessage(message));
  t.deepEqual(decodeGossipMessage(JSON.parse(encoded)), message);
  t.snapshot(encoded);
});

test('a host speaks for itself only, and malformed messages are rejected', async (t) => {
  const handlers = createGossipHandlers({
    handleExchange: (message) => message,
    checkHost: () => Promise.resolve(true),
  });
  const exchange = handlers['gossip.exchange'];
  ok(exchange);
  const encoded = encodeGossipMessage({ from: FROM, updates: [], revision: 1 });
  await t.throwsAsync(exchange(encoded, 'host-7'), { message: /names another host/ });
  await t.throwsAsync(exchange({ f: ['h', 'host-7'], u: [], r: -1 }, 'host-7'));
  t.deepEqual(await exchange(encoded, 'host-100'), encoded);
});
