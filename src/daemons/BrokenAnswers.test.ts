import type { ServerResponse } from 'node:http';
import test from 'ava';
import { sendWarmUpCalls, sendUnmarkedAnswer } from '../standins/platform/PlainAnswers.js';
import { RouterRig } from '../standins/platform/RouterRig.js';
import {
  sendFullAnswer,
  type IRunnerCall,
  type IRunnerStandIn,
} from '../standins/platform/ScriptedRunner.js';
import { sendThenCut, type ConnectionCut } from '../standins/RawServer.js';

/** What marks the end of a body: its length, the last chunk, or only the end of the connection. */
type Framing = 'length' | 'chunks' | 'connection';

const TEXT = 'an answer of which only the first half arrives';
const HALF = TEXT.slice(0, TEXT.length / 2);
const OTHER_TEXT = 'the answer of the other endpoint';
const CUT_DELAYS_MS = { 'at-once': 0, 'after-25-ms': 25 } as const;

/** Formats the head of an answer and the given first part of its body. */
function formatAnswer({ headers }: IRunnerCall, framing: Framing, part: string): string {
  const framings: Readonly<Record<Framing, readonly [header: string, body: string]>> = {
    length: [`content-length: ${TEXT.length}\r\n`, part],
    chunks: ['transfer-encoding: chunked\r\n', `${part.length.toString(16)}\r\n${part}\r\n`],
    connection: ['', part],
  };
  const [header, body] = framings[framing];
  const id = headers['attempt-id']?.toString() ?? '';
  return `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nresponse-stamp: signed\r\n${header}\r\n${body}`;
}

type AnswerFirstCall = (call: IRunnerCall, response: ServerResponse, runner: IRunnerStandIn) => void;

/** Sends a call whose first attempt is answered as given, and any other one with a whole answer. */
async function sendToBadEndpoint(path: string, answerFirst: AnswerFirstCall) {
  const rig = await RouterRig.startReady();
  let calls = 0;
  for (const runner of rig.runners) {
    runner.answer = (call, response) => {
      calls += 1;
      if (calls === 1) answerFirst(call, response, runner);
      else sendFullAnswer(call, response, 200, OTHER_TEXT);
    };
  }
  const { body, isComplete, status } = await rig.send(path);
  await rig.close();
  return { status, body: status === 200 ? body : '', isComplete, calls };
}

/** Outcomes of calls whose first answer is broken off: only the idempotent call is repeated. */
const RIGHT_OUTCOMES = {
  '/look/1': { status: 200, body: OTHER_TEXT, isComplete: true, calls: 2 },
  '/post/1': { status: 502, body: '', isComplete: true, calls: 1 },
};
const PATHS = ['/look/1', '/post/1'] as const;

for (const framing of ['length', 'chunks', 'connection'] as const) {
  for (const cut of ['fin', 'reset'] as const satisfies readonly ConnectionCut[]) {
    // A live endpoint that closes such a connection in order has marked the end of its answer.
    if (framing === 'connection' && cut === 'fin') continue;
    for (const delay of ['at-once', 'after-25-ms'] as const) {
      // Guards against MIXED: half a body that reaches the caller as a whole answer.
      test(`half an answer is not delivered as whole: ${framing}, ${cut} ${delay}`, async (t) => {
        const outcomes: Record<string, unknown> = {};
        for (const path of PATHS) {
          outcomes[path] = await sendToBadEndpoint(path, (call, { socket }) => {
            if (socket)
              void sendThenCut(socket, formatAnswer(call, framing, HALF), cut, CUT_DELAYS_MS[delay]);
          });
        }
        t.deepEqual(outcomes, RIGHT_OUTCOMES);
      });
    }
  }
}

// Guards against MIXED: a process that dies closes its connections in order, which looks like the end of an answer.
test('half an answer without length or chunks is not delivered as whole when its endpoint dies', async (t) => {
  const outcomes: Record<string, unknown> = {};
  for (const path of PATHS) {
    outcomes[path] = await sendToBadEndpoint(path, (call, { socket }, runner) => {
      socket?.write(formatAnswer(call, 'connection', HALF));
      void runner.close();
    });
  }
  t.deepEqual(outcomes, RIGHT_OUTCOMES);
});

// Guards against whole answers that are rejected, or whose calls run twice, because only a close marks their end.
test('a whole answer that its live endpoint ends only by closing the connection is delivered once', async (t) => {
  const rig = await RouterRig.startReady();
  let calls = 0;
  for (const runner of rig.runners) {
    runner.answer = (call, response) => {
      calls += 1;
      sendUnmarkedAnswer(call, response, TEXT);
    };
  }
  await sendWarmUpCalls((path) => rig.send(path));
  for (const path of PATHS) {
    calls = 0;
    const { body, isComplete, status } = await rig.send(path);
    t.deepEqual(
      { status, body, isComplete, calls },
      { status: 200, body: TEXT, isComplete: true, calls: 1 },
      path,
    );
  }
  await rig.close();
});
