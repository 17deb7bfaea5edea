import * as z from 'zod';
import type { ConfigCopy, ConfigNotice, FetchConfig, PushConfig } from '../common/config/ConfigExchange.js';
import type { PeerHandlers, SendToPeer } from '../common/coordination/Peers.js';
import { decodeIndex, formatDocumentKey } from './ConfigStore.js';
import { tryDecode } from './GossipMessages.js';

/** As large as a value of the store may be. */
const MAX_VALUE_LENGTH = 1_048_576;

const TEXT = z.string().max(MAX_VALUE_LENGTH);
const REVISION = z.number().int().min(0);
const NOTICE_SCHEMA = z.object({ revision: REVISION, index: TEXT });
const PUSH_REPLY_SCHEMA = z.object({ revision: REVISION });
const FETCH_SCHEMA = z.object({ held: z.array(z.string()).max(10_000) });
const COPY_SCHEMA = z
  .object({ revision: REVISION, index: TEXT, records: z.record(z.string(), TEXT) })
  .nullable();

/** What handles the configuration calls of peers. */
export interface IConfigReceiver {
  handlePush: (from: string, notice: ConfigNotice) => number;
  handleFetch: (heldKeys: readonly string[]) => ConfigCopy | undefined;
}

/** Creates the calls by which hosts spread the configuration. */
export function createConfigCalls(send: SendToPeer): { push: PushConfig; fetch: FetchConfig } {
  return {
    push: async (host, notice) => {
      const reply = await send(host, 'config.push', notice);
      return reply.andThen((value) => tryDecode(() => PUSH_REPLY_SCHEMA.parse(value).revision));
    },
    fetch: async (host, heldKeys) => {
      const reply = await send(host, 'config.fetch', { held: heldKeys });
      return reply.andThen((value) => tryDecode(() => COPY_SCHEMA.parse(value) ?? undefined));
    },
  };
}

/** Creates the handlers of `config.push` and `config.fetch`. */
export function createConfigHandlers(receiver: IConfigReceiver): PeerHandlers {
  return {
    'config.push': (params, from) =>
      new Promise((resolve) => {
        resolve({ revision: receiver.handlePush(from, NOTICE_SCHEMA.parse(params)) });
      }),
    'config.fetch': (params) =>
      new Promise((resolve) => {
        resolve(receiver.handleFetch(FETCH_SCHEMA.parse(params).held) ?? null);
      }),
  };
}

/** Lists the store keys of the documents that an encoded index names. Throws on a malformed one. */
export function listDocumentKeys(index: string): string[] {
  const { services } = decodeIndex(index);
  return Object.entries(services).map(([service, number]) => formatDocumentKey(service, number));
}
