import { parentPort, workerData } from 'node:worker_threads';
import { sendBrokenAnswer, sendStream, type IBrokenAnswer } from './BrokenAnswer.js';
import { startRunnerStandIn } from './ScriptedRunner.js';

/** Time from the message to the test, which then blocks its thread, until an answer is sent and cut. */
const ANSWER_DELAY_MS = 60;

/** How the first run of a stream breaks off, by path. Other runs are complete. */
const answers = workerData as Map<string, IBrokenAnswer>;
const addresses: string[] = [];
for (const id of ['w-1', 'w-2']) {
  const runner = await startRunnerStandIn(id);
  addresses.push(runner.address);
  runner.answer = (call, response) => {
    const answer = answers.get(call.path);
    if (!answers.delete(call.path) || !answer) {
      sendStream(call, response, 'chunks');
      return;
    }
    parentPort?.postMessage('answering');
    setTimeout(() => {
      sendBrokenAnswer(call, response, answer);
    }, ANSWER_DELAY_MS);
  };
}
parentPort?.postMessage(addresses);
