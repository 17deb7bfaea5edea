import type { IRouterProcessRig } from './RouterProcessRig.js';
import type { AnswerRunnerCall, IRunnerCall } from './ScriptedRunner.js';

/** Bytes that an endpoint, a caller or another writer of the store may send, and the call that brings them about. */
export interface IStallCase {
  path: string;
  /** Called before the call. */
  prepare?: (router: IRouterProcessRig) => void;
  headers?: Readonly<Record<string, string>>;
  /** Default: a whole answer. */
  answer?: AnswerRunnerCall;
}

function formatHead({ headers }: IRunnerCall, status: string, fields: readonly string[]): string {
  const id = headers['attempt-id']?.toString() ?? '';
  const lines = [`HTTP/1.1 ${status}`, `attempt-id: ${id}`, 'response-stamp: signed', ...fields];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

function createRawAnswer(status: string, fields: readonly string[], body: string): AnswerRunnerCall {
  return (call, { socket }) => {
    socket?.end(formatHead(call, status, fields) + body);
  };
}

const SPACES = ' '.repeat(15_000);

/** As a list of a megabyte. */
const WRONG_ITEMS = Array<number>(500_000).fill(0);

/** Bytes that held up or ended a process, each by its kind. */
export const STALL_CASES: Readonly<Record<string, IStallCase>> = {
  'a response with status 000': {
    path: '/post/1',
    answer: createRawAnswer('000 OK', ['content-length: 2'], 'ok'),
  },
  'a response with status 101': {
    path: '/post/2',
    answer: createRawAnswer('101 OK', ['content-length: 2'], 'ok'),
  },
  'a response with spaces in its Connection header': {
    path: '/post/3',
    answer: createRawAnswer('200 OK', [`connection: a${SPACES}b`, 'content-length: 2'], 'ok'),
  },
  'an event without end in chunks of one byte': {
    path: '/stream/4',
    headers: { model: '*' },
    answer: createRawAnswer(
      '200 OK',
      ['content-type: text/event-stream', 'transfer-encoding: chunked'],
      '1\r\nx\r\n'.repeat(250_000),
    ),
  },
  'a call with spaces in its Connection header': {
    path: '/post/5',
    headers: { connection: `close, a${SPACES.repeat(4)}b` },
  },
  'a call whose prompt has many parts': {
    path: '/stream/6',
    headers: { model: '*', 'prompt-prefix': 'a:1,'.repeat(15_000) },
  },
  'an entry of the store with a long list of wrong items': {
    path: '/post/7',
    prepare: ({ store }) => {
      store.put('servers/odd', { service: 'ledger', models: WRONG_ITEMS });
    },
  },
  'an entry of the store with long lists in a list': {
    path: '/post/8',
    prepare: ({ store }) => {
      const crash = { id: 'c', service: 'ledger', crashedAt: 1, prompts: [WRONG_ITEMS] };
      store.put('mulberryweir/crash-evidence/odd', { host: 'odd', crashes: [crash], clearances: [] });
    },
  },
  'a load report with a long list of wrong items': {
    path: '/stream/9',
    headers: { model: '*' },
    prepare: ({ runners }) => {
      for (const runner of runners) runner.reportedRuns = WRONG_ITEMS as never[];
    },
    answer: () => undefined,
  },
};
