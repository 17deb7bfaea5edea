import type { ServerResponse } from 'node:http';
import test from 'ava';
import {
  EVIDENT_CUT,
  sendBrokenAnswer,
  sendStream,
  UNMARKED_END,
} from '../standins/platform/BrokenAnswer.js';
import { sendText } from '../standins/platform/CallSender.js';
import { sendWarmUpCalls } from '../standins/platform/PlainAnswers.js';
import type { RouterRig } from '../standins/platform/RouterRig.js';
import { buildRunnerHeaders, startStream, type IRunnerCall } from '../standins/platform/ScriptedRunner.js';
import { startStreamRig, type AnswerRun } from '../standins/platform/StreamRig.js';

const sendWhole: AnswerRun = (_run, call, response) => {
  sendStream(call, response, 'chunks');
};

function refuseRun(call: IRunnerCall, response: ServerResponse): void {
  response.writeHead(503, { ...buildRunnerHeaders(call), 'not-executed': '1', 'content-length': 0 }).end();
}

const sendBroken: AnswerRun = (run, call, response) => {
  if (run === 0) sendBrokenAnswer(call, response, EVIDENT_CUT);
  else refuseRun(call, response);
};

/** Runs of a stream, and headers of the caller. */
const STREAM_CASES: Record<string, [AnswerRun, string?]> = {
  whole: [sendWhole],
  'whole, ended by its connection': [
    (_run, call, response) => {
      sendStream(call, response, 'connection');
    },
  ],
  'gone on with elsewhere': [
    (run, call, response) => {
      if (run === 0) sendBrokenAnswer(call, response, EVIDENT_CUT);
      else sendStream(call, response, 'chunks');
    },
  ],
  'broken off': [sendBroken],
  'broken off without a mark': [
    (run, call, response, runner) => {
      if (run > 0) refuseRun(call, response);
      else {
        sendBrokenAnswer(call, response, { ...UNMARKED_END, cut: 'fin' });
        setTimeout(() => void runner.close(), 25);
      }
    },
  ],
  'too large': [
    (_run, call, response) => {
      startStream(call, response);
      response.write(`id: 1\ndata: ${'x'.repeat(200_000)}\n\n`.repeat(50));
    },
  ],
  'for a caller that takes chunks, whole': [sendWhole, 'TE: chunked'],
  'for a caller that takes chunks, broken off': [sendBroken, 'TE: chunked'],
  'resumed by the caller after the last event': [sendWhole, 'Last-Event-Id: 6'],
};

/** Sends a call with HTTP/1.0. Describes the status, what marks the end, whether it has come, and the events. */
async function sendOldCall(rig: RouterRig, path: string, header = 'X-A: b'): Promise<string> {
  const headers = 'Host: a.example\r\nAttempt-Id: old\r\nDeadline-Ms: 4000\r\nAuthorization: Token key-north';
  const text = `POST ${path} HTTP/1.0\r\n${headers}\r\nModel: *\r\n${header}\r\n\r\n`;
  const [head = '', body = ''] = (await sendText(rig.frontAddress, text)).split(/\r\n\r\n(.*)/s);
  const status = /^HTTP\/1.1 (\d+)/.exec(head)?.[1];
  const length = /\r\ncontent-length: (\d+)/i.exec(head)?.[1];
  const ids = Array.from(body.matchAll(/(?:^|\n)id: (\d+)\n/g), (match) => match[1]);
  const events = `events ${ids.join()}`;
  if (length !== undefined) return `${status} length ${Number(length) === body.length} ${events}`;
  if (/transfer-encoding: chunked/i.test(head))
    return `${status} chunks ${body.endsWith('\r\n0\r\n\r\n')} ${events}`;
  return `${status} connection ${events}`;
}

// Guards against ORDER: HTTP/1.0 has no chunks, so a stream that is broken off looks complete to its caller.
test('a caller that speaks HTTP/1.0 gets a stream with its length, or an error if it is broken off', async (t) => {
  const outcomes: [string, string][] = [];
  for (const [name, [answerRun, header]] of Object.entries(STREAM_CASES)) {
    const rig = await startStreamRig(answerRun);
    outcomes.push([name, await sendOldCall(rig, '/stream/1', header)]);
    await rig.close();
  }
  t.snapshot(outcomes);
});

// Guards against MIXED: the end of the caller's connection is taken for the end of an answer without a length.
test('a plain answer to a caller that speaks HTTP/1.0 has a length, however its end was marked', async (t) => {
  const rig = await startStreamRig(() => undefined);
  const outcomes: [string, string][] = [];
  for (const framing of ['connection', 'length', 'chunks'] as const) {
    for (const runner of rig.runners) {
      runner.answer = (call, response) => {
        sendStream(call, response, framing);
      };
    }
    if (framing === 'connection') await sendWarmUpCalls((path) => sendOldCall(rig, path));
    outcomes.push([framing, await sendOldCall(rig, '/look/1')]);
  }
  await rig.close();
  t.snapshot(outcomes);
});
