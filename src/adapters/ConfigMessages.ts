import * as z from 'zod';
import type {
  ConfigFetchReply,
  PushedIndex,
  FetchConfig,
  PushConfig,
} from '../common/config/ConfigExchange.js';
import type { PeerHandlers, SendToPeer } from '../common/coordination/Peers.js';
import { decodeIndex, formatDocumentKey } from './ConfigStore.js';
import { tryDecode } from './GossipMessages.js';
import { limitList } from './LimitedList.js';

/** Largest length of a value that the store accepts. */
const MAX_STORE_VALUE_CHARACTERS = 1_048_576;

const TEXT_SCHEMA = z.string().max(MAX_STORE_VALUE_CHARACTERS);
const REVISION_SCHEMA = z.number().int().min(0);
const PUSH_PARAMS_SCHEMA = z.object({ revision: REVISION_SCHEMA, index: TEXT_SCHEMA });
const PUSH_REPLY_SCHEMA = z.object({ revision: REVISION_SCHEMA });
const FETCH_PARAMS_SCHEMA = z.object({ held: limitList(z.string(), { maxLength: 10_000 }) });
const FETCH_REPLY_SCHEMA = z
  .object({ revision: REVISION_SCHEMA, index: TEXT_SCHEMA, records: z.record(z.string(), TEXT_SCHEMA) })
  .nullable();

/** Handles the configuration calls that peers make on this host. */
export interface IConfigReceiver {
  handlePush: (from: string, notice: PushedIndex) => number;
  handleFetch: (heldKeys: readonly string[]) => ConfigFetchReply | undefined;
}

/** Creates the functions that push the configuration index to a peer and fetch a peer's configuration. */
export function createConfigCalls(send: SendToPeer): { push: PushConfig; fetch: FetchConfig } {
  return {
    push: async (host, notice) => {
      const reply = await send(host, 'config.push', notice);
      return reply.andThen((value) => tryDecode(() => PUSH_REPLY_SCHEMA.parse(value).revision));
    },
    fetch: async (host, heldKeys) => {
      const reply = await send(host, 'config.fetch', { held: heldKeys });
      return reply.andThen((value) => tryDecode(() => FETCH_REPLY_SCHEMA.parse(value) ?? undefined));
    },
  };
}

/** Creates the handlers of `config.push` and `config.fetch`. */
export function createConfigHandlers(receiver: IConfigReceiver): PeerHandlers {
  return {
    'config.push': (params, from) =>
      new Promise((resolve) => {
        resolve({ revision: receiver.handlePush(from, PUSH_PARAMS_SCHEMA.parse(params)) });
      }),
    'config.fetch': (params) =>
      new Promise((resolve) => {
        resolve(receiver.handleFetch(FETCH_PARAMS_SCHEMA.parse(params).held) ?? null);
      }),
  };
}

/** Lists the store keys of the documents that an encoded index names. Throws on a malformed index. */
export function listDocumentKeys(index: string): string[] {
  const { services } = decodeIndex(index);
  return Object.entries(services).map(([service, number]) => formatDocumentKey(service, number));
}
