import { Result } from 'true-myth';
import * as z from 'zod';
import type { CheckHost, ExchangeGossip, IGossipMessage } from '../common/coordination/Gossip.js';
import type { GossipUpdate, IHostUpdate } from '../common/coordination/Updates.js';
import type { PeerError, PeerHandlers, SendToPeer } from '../common/coordination/Peers.js';
import { limitList } from './LimitedList.js';

/** Updates are encoded as tuples instead of objects, which keeps an exchange near 700 bytes. */
const HOST_UPDATE_SCHEMA = z
  .tuple([
    z.literal('h'),
    z.string().min(1).max(100),
    z.string().max(100),
    z.string().max(100),
    z.enum(['alive', 'suspect', 'leaving', 'gone']),
    z.number().int().min(0),
  ])
  .transform(([, id, address, zone, state, incarnation]): IHostUpdate => ({
    kind: 'host',
    id,
    address,
    zone,
    state,
    incarnation,
  }));

const ENDPOINT_UPDATE_SCHEMA = z
  .tuple([
    z.literal('e'),
    z.string().min(1).max(100),
    z.enum(['suspect', 'leaving']),
    z.number().int().min(0),
  ])
  .transform(([, id, condition, incarnation]): GossipUpdate => ({
    kind: 'endpoint',
    id,
    condition,
    incarnation,
  }));

/** `f`: the sender's own state, `u`: updates, `r`: configuration revision in force at the sender. */
const MESSAGE_SCHEMA = z.object({
  f: HOST_UPDATE_SCHEMA,
  u: limitList(z.union([HOST_UPDATE_SCHEMA, ENDPOINT_UPDATE_SCHEMA]), { maxLength: 64 }),
  r: z.number().int().min(0),
});

const CHECK_PARAMS_SCHEMA = z.object({ target: z.string() });
const CHECK_REPLY_SCHEMA = z.object({ isReached: z.boolean() });

/** Handles the gossip calls that peers make on this host. */
export interface IGossipReceiver {
  handleExchange: (message: IGossipMessage) => IGossipMessage;
  checkHost: (target: string) => Promise<boolean>;
}

/** Encodes a message as the parameters or the reply of `gossip.exchange`. */
export function encodeGossipMessage(message: IGossipMessage): unknown {
  return { f: encodeUpdate(message.from), u: message.updates.map(encodeUpdate), r: message.revision };
}

/** Decodes the parameters or the reply of `gossip.exchange`. Throws on malformed input. */
export function decodeGossipMessage(value: unknown): IGossipMessage {
  const { f, r, u } = MESSAGE_SCHEMA.parse(value);
  return { from: f, updates: u, revision: r };
}

/** Returns the number of bytes that an update adds to an encoded message, with the comma after it. */
export function measureUpdate(update: GossipUpdate): number {
  return JSON.stringify(encodeUpdate(update)).length + 1;
}

/** Creates the functions by which the gossip controller calls peers. */
export function createGossipCalls(send: SendToPeer): { exchange: ExchangeGossip; check: CheckHost } {
  return {
    exchange: async (host, message) => {
      const reply = await send(host, 'gossip.exchange', encodeGossipMessage(message));
      return reply.andThen((value) => tryDecode(() => decodeMessageFrom(value, host)));
    },
    check: async (via, target) => {
      const reply = await send(via, 'host.check', { target });
      return reply.andThen((value) => tryDecode(() => CHECK_REPLY_SCHEMA.parse(value).isReached));
    },
  };
}

/**
 * Creates the handlers of `gossip.exchange` and `host.check`. An exchange is rejected when the state that it
 * gives as the sender's own is that of another host.
 */
export function createGossipHandlers(receiver: IGossipReceiver): PeerHandlers {
  return {
    'gossip.exchange': (params, from) =>
      new Promise((resolve) => {
        resolve(encodeGossipMessage(receiver.handleExchange(decodeMessageFrom(params, from))));
      }),
    'host.check': async (params) => {
      const { target } = CHECK_PARAMS_SCHEMA.parse(params);
      return { isReached: await receiver.checkHost(target) };
    },
  };
}

/** Decodes a message. Throws when it is malformed or its `from` does not describe the host that sent it. */
function decodeMessageFrom(value: unknown, sender: string): IGossipMessage {
  const message = decodeGossipMessage(value);
  if (message.from.id !== sender) throw new Error(`The message of '${sender}' names another host.`);
  return message;
}

function encodeUpdate(update: GossipUpdate): unknown {
  if (update.kind === 'endpoint') return ['e', update.id, update.condition, update.incarnation];
  return ['h', update.id, update.address, update.zone, update.state, update.incarnation];
}

/** Decodes a peer's reply. If the decoder throws, the call has failed with an error of kind `rejected`. */
export function tryDecode<T>(decode: () => T): Result<T, PeerError> {
  try {
    return Result.ok(decode());
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return Result.err({ kind: 'rejected', message });
  }
}
