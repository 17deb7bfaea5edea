import type { ServerResponse } from 'node:http';
import test from 'ava';
import { EventSplitter } from '../../platform/EventSplitter.js';
import { EVIDENT_CUT, sendBrokenAnswer, sendStream } from '../standins/platform/BrokenAnswer.js';
import { formatEvents, startStream, type IRunnerCall } from '../standins/platform/ScriptedRunner.js';
import { requestStream, runStream, startStreamRig, type AnswerRun } from '../standins/platform/StreamRig.js';

/** Sends a complete stream of pieces, all of them at once or each by itself. */
type SendPieces = (call: IRunnerCall, response: ServerResponse, pieces: readonly string[]) => Promise<void>;

const sendAtOnce: SendPieces = (call, response, pieces) => {
  startStream(call, response);
  response.end(pieces.join(''));
  return Promise.resolve();
};

const sendEach: SendPieces = async (call, response, pieces) => {
  startStream(call, response);
  for (const piece of pieces) {
    response.write(piece);
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
  response.end();
};

const SENDERS: readonly (readonly [string, SendPieces])[] = [
  ['in one block', sendAtOnce],
  ['one by one', sendEach],
];

const WHOLE_STREAM = 'complete 1,2,3,4,5,6';

/** Ids of a spoilt run, and whether an evident cut after event 3 precedes it. */
const SPOILT_RUNS: readonly (readonly [string, readonly number[], boolean])[] = [
  ['an id again', [1, 2, 3, 3, 4, 5, 6], false],
  ['an id again and again', [1, ...Array.from({ length: 500 }, () => 1)], false],
  ['a step back', [1, 2, 3, 1, 2, 3, 4, 5, 6], false],
  ['a gap', [1, 2, 3, 5, 6], false],
  ['a gap at the position of a resumed run', [5, 6], true],
  ['a gap within a resumed run', [4, 6], true],
];

for (const [way, send] of SENDERS) {
  // Guards against ORDER: pieces that are missing or come twice within one run reach the caller of a complete stream.
  test(`a run whose ids show a missing or repeated event goes on elsewhere, ${way}`, async (t) => {
    const outcomes: Record<string, unknown> = {};
    for (const [name, ids, isResumed] of SPOILT_RUNS) {
      const [outcome] = await runStream((run, call, response) => {
        if (run === 0 && isResumed) sendBrokenAnswer(call, response, EVIDENT_CUT);
        else if (run === Number(isResumed)) void send(call, response, formatEvents(ids));
        else sendStream(call, response, 'chunks');
      });
      outcomes[name] = outcome;
    }
    t.deepEqual(outcomes, Object.fromEntries(SPOILT_RUNS.map(([name]) => [name, WHOLE_STREAM])));
  });
}

// Guards against ORDER: the chunk sizes of a response whose head hides its chunks reach the caller as text.
test('lines that belong to no event are not delivered, and lines that may stand in one are', async (t) => {
  const [first = '', second = ''] = formatEvents([1, 2]);
  const [legal, framed, ...rest] = [
    `: comment\n\nweight-versions: 3\r\nid: 1\r\ndata\r\nevent\r\n\r\n`,
    `${first.length.toString(16)}\r\n${first}\r\n${second.length.toString(16)}\r\n${second}\r\n0\r\n\r\n`,
    ...[`${first}1b\r\n${second}`, `${first}id: 2\ndata: piece 2\nid 3\n\n`],
  ];
  const outcomes: unknown[] = [];
  for (const text of [framed, ...rest])
    outcomes.push(
      await runStream((run, call, response) => {
        if (run === 0) void sendAtOnce(call, response, [text]);
        else sendStream(call, response, 'chunks');
      }),
    );
  t.deepEqual(
    outcomes,
    outcomes.map(() => [WHOLE_STREAM, [1, 1]]),
  );
  t.is(new EventSplitter().push(Buffer.from(legal))?.bytes.toString(), legal);
});

function sendThenBreak(call: IRunnerCall, response: ServerResponse, text: string): void {
  startStream(call, response);
  response.write(text);
  setTimeout(() => response.destroy(), 20);
}

// Guards against ORDER: nothing tells how the ids rose for the caller that resumes a stream, and a gap is delivered.
test('a stream that its caller resumes goes on elsewhere if the first event is not the next one', async (t) => {
  const [outcome] = await runStream(
    (run, call, response) => {
      if (run === 0) void sendAtOnce(call, response, formatEvents([5, 6]));
      else sendStream(call, response, 'chunks');
    },
    { 'last-event-id': '3' },
  );
  t.is(outcome, 'complete 4,5,6');
});

// Guards against ORDER: resumptions that begin too late, at one endpoint or at all of them, leave out an event.
test('a stream that was cut is not complete if a resumed run begins with a gap', async (t) => {
  const outcomes: unknown[] = [];
  for (const [sent, wrongRuns] of [
    [1, 1],
    [3, 2],
  ] as const) {
    const [outcome] = await runStream((run, call, response) => {
      const ids = Array.from({ length: sent }, (_, index) => index + 1);
      if (run === 0) sendThenBreak(call, response, formatEvents(ids).join(''));
      else if (run <= wrongRuns) void sendAtOnce(call, response, formatEvents([sent + 2, 6]));
      else sendStream(call, response, 'chunks');
    });
    outcomes.push(outcome);
  }
  t.deepEqual(outcomes, [WHOLE_STREAM, 'broken 1,2,3']);
});

/** Sends the events with those of the ids that lie after the position that the call names. */
function createIdAnswer(ids: readonly number[]): AnswerRun {
  return (_run, call, response) => {
    const after = Number(call.headers['last-event-id'] ?? 0);
    const isLeft = (id: number): boolean => id > after;
    void sendAtOnce(call, response, formatEvents(ids.filter(isLeft)));
  };
}

// Guards against streams that are broken off because their ids are not consecutive.
test('a stream whose ids leave out numbers by their nature is complete', async (t) => {
  const outcomes: unknown[] = [];
  for (const ids of [
    [10, 20, 30, 31, 40],
    [1, 2, 3, 7, 8, 12],
  ])
    outcomes.push(await runStream(createIdAnswer(ids)));
  t.deepEqual(outcomes, [
    ['complete 10,20,30,31,40', [1, 1]],
    ['complete 1,2,3,7,8,12', [1, 1]],
  ]);
});

// Guards against a second run of every stream of endpoints whose ids are not consecutive.
test('streams whose ids leave out numbers by their nature are run once after the first two', async (t) => {
  const rig = await startStreamRig(createIdAnswer([10, 20, 30, 31, 40]));
  const results: unknown[] = [];
  for (const name of ['first', 'second', 'third', 'fourth', 'fifth']) {
    const outcome = await requestStream(rig, name);
    const calls = rig.runners.flatMap((runner) => runner.calls);
    results.push([outcome, calls.filter(({ path }) => path.endsWith(name)).length]);
  }
  await rig.close();
  t.snapshot(results);
});

// Guards against events without end, and against a limit for callers that named none.
test('a run has no more events than the caller allows tokens, if it names a number', async (t) => {
  const outcomes: Record<string, string> = {};
  for (const [name, headers] of Object.entries({
    none: {},
    unreadable: { 'token-usage': '10,many' },
    ample: { 'token-usage': '10,9' },
    exceeded: { 'token-usage': '10,6' },
  })) {
    const [outcome] = await runStream((run, call, response) => {
      sendStream(call, response, 'chunks', run === 0 ? 9 : undefined);
    }, headers);
    outcomes[name] = outcome;
  }
  const allowed = 'complete 1,2,3,4,5,6,7,8,9';
  const exceeded = 'broken 1,2,3,4,5,6';
  t.deepEqual(outcomes, { none: allowed, unreadable: allowed, ample: allowed, exceeded });
});
