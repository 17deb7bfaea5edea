import * as z from 'zod';
import type { PeerHandlers, SendToPeer } from '../common/coordination/Peers.js';
import type { SendSuspectMessage, SuspectMessage } from '../common/request/CrashController.js';
import { limitList } from './LimitedList.js';

const ID_SCHEMA = z.string().min(1).max(300);

const MESSAGE_SCHEMA = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('crash'),
    sights: limitList(z.object({ fingerprint: ID_SCHEMA, endpoint: ID_SCHEMA, isOnTrial: z.boolean() }), {
      maxLength: 10_000,
    }),
  }),
  z.object({ kind: z.literal('clear'), fingerprint: ID_SCHEMA }),
  z.object({ kind: z.literal('check'), endpoint: ID_SCHEMA }),
  z.object({
    kind: z.literal('acquire'),
    key: ID_SCHEMA,
    holder: ID_SCHEMA,
    durationMs: z.number().min(0).max(3_600_000),
  }),
  z.object({ kind: z.literal('release'), key: ID_SCHEMA, holder: ID_SCHEMA }),
]);

/** Creates the function that sends a message about suspected requests to a peer. */
export function createSendSuspectMessage(send: SendToPeer): SendSuspectMessage {
  return async (host, message) => {
    const reply = await send(host, 'suspect.report', message);
    return reply.isOk && reply.value === true;
  };
}

/** Creates the handler of `suspect.report`. */
export function createSuspectHandlers(handleMessage: (message: SuspectMessage) => boolean): PeerHandlers {
  return {
    'suspect.report': (params) => Promise.resolve(handleMessage(MESSAGE_SCHEMA.parse(params))),
  };
}
