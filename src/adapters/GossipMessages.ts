import { Result } from 'true-myth';
import * as z from 'zod';
import type { CheckHost, ExchangeGossip, IGossipMessage } from '../common/coordination/Gossip.js';
import type { GossipUpdate, IHostUpdate } from '../common/coordination/Updates.js';
import type { PeerError, PeerHandlers, SendToPeer } from '../common/coordination/Peers.js';

/** Tuples instead of objects keep an exchange near 700 bytes. */
const HOST_SCHEMA = z
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

const ENDPOINT_SCHEMA = z
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

const MESSAGE_SCHEMA = z.object({
  f: HOST_SCHEMA,
  u: z.array(z.union([HOST_SCHEMA, ENDPOINT_SCHEMA])).max(64),
  r: z.number().int().min(0),
});

const CHECK_SCHEMA = z.object({ target: z.string() });
const CHECK_REPLY_SCHEMA = z.object({ isReached: z.boolean() });

/** What handles the gossip of peers. */
export interface IGossipReceiver {
  handleExchange: (message: IGossipMessage) => IGossipMessage;
  checkHost: (target: string) => Promise<boolean>;
}

/** Encodes an exchange as the parameters of `gossip.exchange`. */
export function encodeGossipMessage(message: IGossipMessage): unknown {
  return { f: encodeUpdate(message.from), u: message.updates.map(encodeUpdate), r: message.revision };
}

/** Decodes an exchange. Throws on malformed input. */
export function decodeGossipMessage(value: unknown): IGossipMessage {
  const { f, r, u } = MESSAGE_SCHEMA.parse(value);
  return { from: f, updates: u, revision: r };
}

/** Returns the encoded size of an update in bytes. */
export function measureUpdate(update: GossipUpdate): number {
  return JSON.stringify(encodeUpdate(update)).length + 1;
}

/** Creates the calls that the gossip controller makes on peers. */
export function createGossipCalls(send: SendToPeer): { exchange: ExchangeGossip; check: CheckHost } {
  return {
    exchange: async (host, message) => {
      const reply = await send(host, 'gossip.exchange', encodeGossipMessage(message));
      return reply.andThen((value) => tryDecode(() => decodeReply(value, host)));
    },
    check: async (via, target) => {
      const reply = await send(via, 'host.check', { target });
      return reply.andThen((value) => tryDecode(() => CHECK_REPLY_SCHEMA.parse(value).isReached));
    },
  };
}

/** Creates the handlers of `gossip.exchange` and `host.check`. A host may speak for itself only. */
export function createGossipHandlers(receiver: IGossipReceiver): PeerHandlers {
  return {
    'gossip.exchange': (params, from) =>
      new Promise((resolve) => {
        resolve(encodeGossipMessage(receiver.handleExchange(decodeReply(params, from))));
      }),
    'host.check': async (params) => {
      const { target } = CHECK_SCHEMA.parse(params);
      return { isReached: await receiver.checkHost(target) };
    },
  };
}

function decodeReply(value: unknown, sender: string): IGossipMessage {
  const message = decodeGossipMessage(value);
  if (message.from.id !== sender) throw new Error(`The message of '${sender}' names another host.`);
  return message;
}

function encodeUpdate(update: GossipUpdate): unknown {
  if (update.kind === 'endpoint') return ['e', update.id, update.condition, update.incarnation];
  return ['h', update.id, update.address, update.zone, update.state, update.incarnation];
}

/** Decodes a peer's answer; a malformed one counts as a failed call. */
export function tryDecode<T>(decode: () => T): Result<T, PeerError> {
  try {
    return Result.ok(decode());
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return Result.err({ kind: 'rejected', message });
  }
}
