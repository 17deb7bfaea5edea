import { setTimeout as wait } from 'node:timers/promises';
import test from 'ava';
import { sendCall } from '../standins/platform/CallSender.js';
import {
  startRouterProcess,
  type IRouterProcessRig,
  type RouterProgram,
} from '../standins/platform/RouterProcessRig.js';
import {
  sendFullAnswer,
  type AnswerRunnerCall,
  type IRunnerCall,
} from '../standins/platform/ScriptedRunner.js';

/** Time that a request may stay unanswered beyond its time limit. */
const MAX_STALL_MS = 500;
const PROBE_INTERVAL_MS = 10;

const CALL_HEADERS = {
  host: 'a.example',
  'attempt-id': 'call-1',
  'deadline-ms': '2000',
  authorization: 'Token key-north',
};

/** Bytes that an endpoint or a caller may send. */
interface IStallCase {
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

const CASES: Readonly<Record<string, IStallCase>> = {
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

/**
 * Checks a router again and again until an action has ended. Returns the longest time without a reply; infinite if the
 * router cannot be reached.
 */
async function measureStall(readyAddress: string, action: Promise<unknown>): Promise<number> {
  const state = { hasEnded: false };
  const ended = action.finally(() => (state.hasEnded = true));
  let longestMs = 0;
  do {
    const sentAt = performance.now();
    const reply = await fetch(`http://${readyAddress}/-/ready`).catch(() => undefined);
    if (!reply) return Infinity;
    longestMs = Math.max(longestMs, performance.now() - sentAt);
    await wait(PROBE_INTERVAL_MS);
  } while (!state.hasEnded);
  await ended;
  return longestMs;
}

for (const program of ['bundle', 'modules'] satisfies RouterProgram[]) {
  // Guards against CONFIG: bytes of one endpoint or caller that keep the process from answering all others.
  test.serial(`no bytes from outside hold up the whole process, run as ${program}`, async (t) => {
    let sendAnswer: AnswerRunnerCall = () => undefined;
    const router = await startRouterProcess((call, response) => sendAnswer(call, response), 2000, program);
    t.teardown(router.close);
    const stalls: string[] = [];
    for (const [name, stallCase] of Object.entries(CASES)) {
      const { headers, path, prepare } = stallCase;
      prepare?.(router);
      sendAnswer =
        stallCase.answer ??
        ((call, response) => {
          sendFullAnswer(call, response, 200, 'ok');
        });
      const call = {
        address: router.address,
        path,
        method: 'POST',
        headers: { ...CALL_HEADERS, ...headers },
      };
      const stallMs = await measureStall(router.readyAddress, sendCall(call).result);
      if (stallMs >= MAX_STALL_MS) stalls.push(`${name}: ${Math.round(stallMs)} ms`);
      if (stallMs === Infinity) break;
    }
    t.deepEqual(stalls, []);
    t.is(router.child.exitCode, null);
  });
}
