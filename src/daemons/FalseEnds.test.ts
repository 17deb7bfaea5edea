import { once } from 'node:events';
import test from 'ava';
import { runPlainCalls, runStreams, type IAnswerKind } from '../standins/platform/AnswerKinds.js';
import { sendMarkedAnswer, sendOddHead, type IMarkedAnswer } from '../standins/platform/BrokenAnswer.js';

const ODD_HEADS: readonly IAnswerKind[] = [
  ['chunked, chunked'],
  ['gzip, chunked'],
  ['gzip', 'chunked'],
  ['chunked', 'chunked'],
  ['chunke'],
  [''],
  ['\tChunked '],
].map((encodings) => {
  const lines = encodings.map((encoding) => `transfer-encoding: ${encoding}`);
  return {
    name: JSON.stringify(encodings),
    send: (call, response, pieces) => {
      sendOddHead(call, response, pieces, lines);
    },
  };
});

const MARKED_ANSWERS: readonly IAnswerKind[] = listMarkedAnswers().map((answer) => ({
  name: [answer.part, answer.framing, answer.behind, answer.timing, answer.connection].join(' '),
  send: (call, response, pieces, deliveries) => {
    const waitForDelivery = async (): Promise<void> => {
      await once(deliveries, call.path);
    };
    void sendMarkedAnswer(call, response, pieces, answer, waitForDelivery);
  },
}));

function listMarkedAnswers(): IMarkedAnswer[] {
  const bytesBehind = [
    { part: 'half', behind: 'nothing', timing: 'same-write' },
    { part: 'half', behind: 'rest', timing: 'same-write' },
    { part: 'half', behind: 'rest', timing: 'after-delivery' },
    { part: 'none', behind: 'rest', timing: 'same-write' },
    { part: 'whole', behind: 'response', timing: 'same-write' },
    { part: 'whole', behind: 'response', timing: 'after-delivery' },
    { part: 'whole', behind: 'repeat', timing: 'same-write' },
    { part: 'whole', behind: 'noise', timing: 'same-write' },
    { part: 'whole', behind: 'last-chunk', timing: 'same-write' },
  ] as const;
  return (['chunks', 'length'] as const).flatMap((framing) =>
    (['kept', 'closed'] as const).flatMap((connection) =>
      bytesBehind.map((behind) => ({ ...behind, framing, connection })),
    ),
  );
}

// Guards against ORDER: a body of which the end is not clear reaches its caller as complete.
test.serial(
  'a stream with another transfer encoding than chunked is not read and goes on elsewhere',
  async (t) => {
    t.snapshot(await runStreams(ODD_HEADS));
  },
);

test.serial('a plain answer with another transfer encoding than chunked is not read', async (t) => {
  t.snapshot(await runPlainCalls(ODD_HEADS));
});

// Guards against ORDER: a stream whose end is marked too early reaches its caller as complete.
test.serial(
  'a stream with a rest behind its end goes on elsewhere, and a whole one is run once',
  async (t) => {
    t.snapshot(await runStreams(MARKED_ANSWERS));
  },
);

// Guards against MIXED: half an answer, whose end is marked too early, reaches its caller as a whole one.
test.serial(
  'a plain answer with a rest behind its end is not delivered, and a whole one is run once',
  async (t) => {
    t.snapshot(await runPlainCalls(MARKED_ANSWERS));
  },
);
