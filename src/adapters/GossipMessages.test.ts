import test from 'ava';
import type { GossipUpdate, IHostUpdate } from '../common/coordination/Updates.js';
import { ok } from 'node:assert';
import { createGossipHandlers, decodeGossipMessage, encodeGossipMessage } from './GossipMessages.js';

const SENDER: IHostUpdate = {
  kind: 'host',
  id: 'host-100',
  address: '10.20.30.40:7000',
  zone: 'kuttanad-1',
  state: 'alive',
  incarnation: 1_796_370_000,
};
const UPDATES: GossipUpdate[] = [
  { ...SENDER, id: 'host-7', state: 'suspect' },
  { kind: 'endpoint', id: 'engine-77', condition: 'leaving', incarnation: 3 },
];

// Guards against a change of the message format, which hosts of another release could not decode.
test('the wire format of a message is unchanged, and decoding restores its content', (t) => {
  const message = { from: SENDER, updates: UPDATES, revision: 4711 };
  const encoded = JSON.stringify(encodeGossipMessage(message));
  t.deepEqual(decodeGossipMessage(JSON.parse(encoded)), message);
  t.snapshot(encoded);
});

test('a message whose `from` is not its sender is rejected, and so is a malformed message', async (t) => {
  const handlers = createGossipHandlers({
    handleExchange: (message) => message,
    checkHost: () => Promise.resolve(true),
  });
  const exchange = handlers['gossip.exchange'];
  ok(exchange);
  const encoded = encodeGossipMessage({ from: SENDER, updates: [], revision: 1 });
  await t.throwsAsync(exchange(encoded, 'host-7'), { message: /names another host/ });
  await t.throwsAsync(exchange({ f: ['h', 'host-7'], u: [], r: -1 }, 'host-7'));
  t.deepEqual(await exchange(encoded, 'host-100'), encoded);
});
