import test from 'ava';
import { runPlainCalls, runStreams, type IAnswerKind } from '../standins/platform/AnswerKinds.js';
import { sendOddHead } from '../standins/platform/BrokenAnswer.js';

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
