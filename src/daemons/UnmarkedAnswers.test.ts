import test from 'ava';
import { startCuttingProxy } from '../standins/CuttingProxy.js';
import { sendCall } from '../standins/platform/CallSender.js';
import { sendWarmUpCalls, sendUnmarkedAnswer } from '../standins/platform/PlainAnswers.js';
import { RouterRig } from '../standins/platform/RouterRig.js';
import {
  sendFullAnswer,
  type AnswerRunnerCall,
  type IRunnerCall,
  type IRunnerStandIn,
} from '../standins/platform/ScriptedRunner.js';

const TEXT = 'an answer whose end only its connection marks';

const CALL_HEADERS = { host: 'a.example', 'deadline-ms': '4000', authorization: 'Token key-north' };
const LOGGED_FIELDS = ['path', 'doubt', 'result', 'status', 'endpointMark', 'endMark', 'bytes', 'isSent'];

/** Starts a rig whose endpoints for plain calls mark no ends, and lets its host see that. */
async function startUnmarkedRig(text = TEXT): Promise<RouterRig> {
  const rig = await RouterRig.startReady();
  for (const runner of rig.runners) {
    runner.answer = (call, response) => {
      sendUnmarkedAnswer(call, response, text);
    };
  }
  await sendWarmUpCalls((path) => rig.send(path));
  return rig;
}

// Guards against MIXED without a trace: the log does not tell whether the endpoint's answer or the caller's copy was cut.
test('the log tells how a plain answer came, how its end was marked and how its copy was written', async (t) => {
  const rig = await startUnmarkedRig();
  await rig.send('/look/1');
  const isWritten = () =>
    rig.events.some(({ fields: { request }, kind }) => kind === 'call.answered' && request === 'call-4');
  await rig.waitUntil(isWritten);
  await rig.close();
  const lines = rig.events
    .filter(({ fields, kind }) => fields.request === 'call-4' && /^(answer|attempt|call)\./.test(kind))
    .map(({ fields, kind }) => {
      const shown = LOGGED_FIELDS.filter((name) => fields[name] !== undefined);
      return [kind, ...shown.map((name) => `${name}=${fields[name]}`)].join(' ');
    });
  t.snapshot(lines);
});

// Guards against MIXED: what ends the connection to the caller in order makes a part of the host's whole copy look whole.
test('a copy of an unmarked plain answer that is cut behind the host does not look complete', async (t) => {
  const outcomes: Record<string, unknown> = {};
  for (const size of [200, 8000, 16_000]) {
    const rig = await startUnmarkedRig('x'.repeat(size));
    const proxy = await startCuttingProxy({ target: rig.frontAddress, bodyBytes: size / 2 });
    for (const method of ['GET', 'POST']) {
      const headers = { ...CALL_HEADERS, 'attempt-id': `${method}-${size}` };
      const path = method === 'GET' ? '/look/cut' : '/post/cut';
      const { body, isComplete, status } = await sendCall({ address: proxy.address, path, headers, method })
        .result;
      outcomes[`${method} ${size}`] = { status, bytes: body.length, isComplete };
    }
    await proxy.close();
    await rig.close();
  }
  t.snapshot(outcomes);
});

/** Calls of each path, with the answers that the endpoints give in turn. */
async function sendInTurn(path: string, answers: readonly AnswerRunnerCall[]): Promise<string> {
  const rig = await RouterRig.startReady();
  for (const name of ['look', 'post'])
    for (let index = 0; index < 3; index += 1) await rig.send(`/${name}/warm`);
  let calls = 0;
  for (const runner of rig.runners) {
    runner.answer = async (call, response) => {
      const answer = answers[calls] ?? answers.at(-1);
      calls += 1;
      await answer?.(call, response);
    };
  }
  const { body, isComplete, status } = await rig.send(path);
  await rig.close();
  return status < 500
    ? `${status} ${isComplete ? 'complete' : 'broken'} "${body}", ${calls} runs`
    : `${status}, ${calls} runs`;
}

const sendPart: AnswerRunnerCall = (call, response) => {
  sendUnmarkedAnswer(call, response, TEXT.slice(0, 20));
};
const sendFailedPart: AnswerRunnerCall = (call, response) => {
  sendUnmarkedAnswer(call, response, 'half of an err', { status: 500 });
};
const sendWhole: AnswerRunnerCall = (call, response) => {
  sendFullAnswer(call, response, 200, TEXT);
};

// Guards against MIXED: a live endpoint, or a proxy in front of it, ends an answer early and in order.
test('a part that a live endpoint ends in order is not believed where answers have marks', async (t) => {
  t.snapshot({
    'idempotent, then whole': await sendInTurn('/look/1', [sendPart, sendWhole]),
    'idempotent, then another part': await sendInTurn('/look/1', [sendPart]),
    'not idempotent': await sendInTurn('/post/1', [sendPart]),
    'a part of a failure': await sendInTurn('/post/1', [sendFailedPart]),
  });
});

// Guards against MIXED after a start: a host that has seen no answer yet believes the first part.
test('a part is not believed by a host that has not seen how answers end', async (t) => {
  const rig = await RouterRig.startReady();
  for (const runner of rig.runners) runner.answer = sendPart;
  const { status } = await rig.send('/post/1');
  await rig.close();
  t.is(status, 502);
});

/** Time between two calls of a service in ordinary use. */
const CALL_INTERVAL_MS = 60;

/** Sends calls that may run once to a host that has just started. Describes what their callers get. */
async function sendFirstCalls(answerCall: (index: number) => AnswerRunnerCall): Promise<string[]> {
  const rig = await RouterRig.startReady();
  let calls = 0;
  for (const runner of rig.runners) {
    runner.answer = async (call, response) => {
      calls += 1;
      await answerCall(calls - 1)(call, response);
    };
  }
  const results: ReturnType<RouterRig['send']>[] = [];
  for (let index = 0; index < 6; index += 1) {
    results.push(rig.send(`/post/${index}`));
    await new Promise((resolve) => setTimeout(resolve, CALL_INTERVAL_MS));
  }
  const answers = (await Promise.all(results)).map(({ body, status }) => `${status} ${body.length}`);
  await rig.close();
  return answers;
}

// Guards against whole answers that are lost after each start of a host, though the next ones show how they end.
test('the first answers after a start wait for the next ones to show that none has a mark', async (t) => {
  const answers = await sendFirstCalls(() => (call, response) => {
    sendUnmarkedAnswer(call, response, TEXT);
  });
  t.deepEqual(
    answers,
    answers.map(() => `200 ${TEXT.length}`),
  );
});

// Guards against MIXED: the same wait ends in a part that is believed.
test('the first answer after a start is not believed if the next ones show that it lacks its mark', async (t) => {
  const [first, ...others] = await sendFirstCalls((index) => (index === 0 ? sendPart : sendWhole));
  t.regex(first ?? '', /^502 /);
  t.deepEqual(
    others,
    others.map(() => `200 ${TEXT.length}`),
  );
});

/** What an endpoint does after it has ended an answer in order. With the last, the answer is whole. */
const ENDINGS: Readonly<Record<string, (runner: IRunnerStandIn, call: IRunnerCall) => void>> = {
  'does not reply': (runner) => {
    runner.pause = new Promise((resolve) => setTimeout(resolve, 3000));
  },
  'still runs the call': (runner, { headers }) => {
    runner.reportedRuns = [[headers['attempt-id']?.toString() ?? '', 100, 0, 5]];
  },
  'has a report that is 200 ms late': (runner, { headers }) => {
    runner.reportedRuns = [[headers['attempt-id']?.toString() ?? '', 100, 0, 5]];
    setTimeout(() => (runner.reportedRuns = []), 200);
  },
};

// Guards against MIXED: an endpoint confirms the end of its answer without having said that the call is over.
test('an endpoint that marks no ends confirms an end only by a reply without the call', async (t) => {
  const outcomes: Record<string, unknown> = {};
  for (const [name, end] of Object.entries(ENDINGS)) {
    const rig = await startUnmarkedRig();
    for (const runner of rig.runners) {
      runner.answer = (call, response) => {
        end(runner, call);
        sendUnmarkedAnswer(call, response, TEXT.slice(0, 20));
      };
    }
    const { body, isComplete, status } = await rig.send('/post/1');
    outcomes[name] = status === 200 ? { body, isComplete } : status;
    await rig.close();
  }
  t.snapshot(outcomes);
});
