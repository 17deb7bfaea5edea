import test from 'ava';
import { EntryHostRig } from '../testing/EntryHostRig.js';
import { sendUnmarkedAnswer, sendWarmUpCalls } from '../standins/platform/PlainAnswers.js';
import { RouterRig } from '../standins/platform/RouterRig.js';
import { sendFullAnswer, type AnswerRunnerCall } from '../standins/platform/ScriptedRunner.js';

/** Statuses from which callers conclude that their call has not run. */
const STATUSES = [408, 421, 429, 503] as const;

/** Ways in which an endpoint sends an answer with a status, without saying that the call has not run. */
const FORMS: Readonly<Record<string, (status: number) => AnswerRunnerCall>> = {
  'with its length': (status) => (call, response) => {
    sendFullAnswer(call, response, status, 'the result could not be stored');
  },
  'in chunks, without a stamp': (status) => (call, response) => {
    response.writeHead(status, { 'attempt-id': call.headers['attempt-id'], 'retry-after': '1' });
    response.write('the result ');
    response.end('could not be stored');
  },
  'to the end of its connection': (status) => (call, response) => {
    sendUnmarkedAnswer(call, response, 'the result could not be stored', { status });
  },
};

/** Lets all endpoints of a rig answer alike, and describes what the caller of a path gets, and the number of runs. */
async function describeAnswer(rig: RouterRig, path: string, answer: AnswerRunnerCall): Promise<string> {
  const countRuns = (): number => rig.runners.flatMap(({ calls }) => calls).length;
  const runsBefore = countRuns();
  for (const runner of rig.runners) runner.answer = answer;
  const { headers, status } = await rig.send(path);
  const stamp = headers['response-stamp'] === undefined ? '' : ' stamped';
  const retry = headers['retry-after'] === undefined ? '' : ', retry-after';
  return `${status}${stamp}${retry}, ${countRuns() - runsBefore} runs`;
}

// Guards against REFUSED: the caller of a call that has run is told that it has not, and sends it again.
test('an answer that denies the run of a call is kept from a caller whose call may run once', async (t) => {
  const outcomes: Record<string, string> = {};
  for (const [form, create] of Object.entries(FORMS)) {
    const rig = await RouterRig.startReady();
    // The host has to know the form of plain answers, as it drops all failures without a mark otherwise.
    if (form === 'to the end of its connection') {
      for (const runner of rig.runners)
        runner.answer = (call, response) => {
          sendUnmarkedAnswer(call, response, 'found');
        };
      await sendWarmUpCalls((path) => rig.send(path));
    }
    for (const status of STATUSES)
      for (const path of ['/post/1', '/once/1', '/look/1'])
        outcomes[`${status} ${form} ${path}`] = await describeAnswer(rig, path, create(status));
    await rig.close();
  }
  t.snapshot(outcomes);
});

// Guards against the same by way of a relay.
test('an answer that denies the run of a call is kept from its caller behind a relay', async (t) => {
  const rig = await RouterRig.startReady({ hasPeers: true });
  const relay = await rig.startPeer('host-2');
  rig.link.stop('refused', 'reset');
  await rig.waitUntil(async () => (await rig.send('/look/1')).status === 200);
  const outcomes: Record<string, string> = {};
  for (const status of STATUSES)
    outcomes[status] = await describeAnswer(rig, '/post/1', (call, response) => {
      sendFullAnswer(call, response, status, 'the result could not be stored');
    });
  await relay.close();
  await rig.close();
  t.snapshot(outcomes);
});

// Guards against a loss of true refusals: callers of calls that have not run come back at once.
test('a refusal of an endpoint that says that the call has not run reaches its caller as one', async (t) => {
  const rig = await RouterRig.startReady();
  const outcomes: Record<string, string> = {};
  for (const status of [408, 429, 503])
    outcomes[status] = await describeAnswer(rig, '/post/1', (call, response) => {
      response.setHeader('not-executed', '1');
      sendFullAnswer(call, response, status, 'full');
    });
  await rig.close();
  t.snapshot(outcomes);
});

// Guards against failures without a trace: the log does not tell which status the endpoint gave.
test('the log names the status of an answer that is kept from its caller', async (t) => {
  const rig = await RouterRig.startReady();
  await describeAnswer(rig, '/post/1', (call, response) => {
    sendFullAnswer(call, response, 503, 'the result could not be stored');
  });
  await rig.close();
  const withheld = rig.events.filter(({ kind }) => kind === 'answer.withheld');
  t.deepEqual(
    withheld.map(({ fields }) => fields.status),
    [503],
  );
});

// Guards against REFUSED at the other edge, with plain services and models.
test('an answer that denies the run of a call is kept from callers of the OpenAI edge', async (t) => {
  const rig = await EntryHostRig.start();
  const outcomes: Record<string, string | undefined> = {};
  for (const status of STATUSES) {
    rig.answerPlain = (_body, response) => {
      response.writeHead(status, { 'content-length': '4' }).end('lost');
    };
    const head = 'POST /services/ledger/refunds';
    const headers = { 'idempotency-key': `refund-${status}` };
    const reply = await rig.sendRaw(rig.formatRequest(head, '{}', headers));
    const ran = /x-mulberryweir-ran: (\w+)/.exec(reply)?.[1] ?? 'not said';
    outcomes[status] = `${reply.split('\r\n')[0]}, ran: ${ran}`;
  }
  await rig.close();
  t.snapshot(outcomes);
});
