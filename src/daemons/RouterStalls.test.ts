import test from 'ava';
import { sendCall } from '../standins/platform/CallSender.js';
import { measureStall } from '../standins/platform/ReadinessProbe.js';
import { startRouterProcess, type RouterProgram } from '../standins/platform/RouterProcessRig.js';
import { sendFullAnswer, type AnswerRunnerCall } from '../standins/platform/ScriptedRunner.js';
import { STALL_CASES } from '../standins/platform/StallCases.js';

/** Time that a request may stay unanswered beyond its time limit. */
const MAX_STALL_MS = 500;

const CALL_HEADERS = {
  host: 'a.example',
  'attempt-id': 'call-1',
  'deadline-ms': '2000',
  authorization: 'Token key-north',
};

for (const program of ['bundle', 'modules'] satisfies RouterProgram[]) {
  // Guards against CONFIG: bytes of one endpoint or caller that keep the process from answering all others.
  test.serial(`no bytes from outside hold up the whole process, run as ${program}`, async (t) => {
    let sendAnswer: AnswerRunnerCall = () => undefined;
    const router = await startRouterProcess((call, response) => sendAnswer(call, response), 2000, program);
    t.teardown(router.close);
    const stalls: string[] = [];
    for (const [name, stallCase] of Object.entries(STALL_CASES)) {
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
