import { CONFIGURATION, Deployment, ROUTES, wait } from '../standins/Deployment.mjs';
import { buildAnswerHeaders, sendAnswer } from '../standins/Runner.mjs';

const POSTS_PER_S = 20;
const WORK_MS = 20;
/** Times of the unsafe route of the site vembu-route. */
const TIMEOUT_MS = 800;
const DEADLINE_MS = 1500;
const LATE_MS = 500;
const TROUBLE_AT_MS = 3000;
const TROUBLE_MS = 5000;
/** One of three runners spoils one in twenty of its answers. */
const SPOILT_SHARE = 0.05;
const END_MS = 20_000;

const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Answers with a status line of which a digit is spoilt, so that it is no response. */
function sendSpoiltAnswer(call, response, runner) {
  const headers = Object.entries(buildAnswerHeaders(call, runner)).map(
    ([name, value]) => `${name}: ${value}`,
  );
  response.socket.end(['HTTP/1.1 000 OK', ...headers, 'Content-Length: 2', '', 'ok'].join('\r\n'));
}

async function play(deployment) {
  const { record } = deployment;
  const routes = ROUTES.map((route) =>
    route.kind === 'unsafe' ? { ...route, timeoutMs: TIMEOUT_MS } : route,
  );
  await deployment.startStore({ ...CONFIGURATION, routes });
  const startedAt = Date.now() + 1500;
  let answers = 0;
  let spoilt = 0;
  const isSpoiling = ({ id }) => {
    const now = Date.now() - startedAt;
    if (!HAS_TROUBLE || id !== 'i-ledger-1' || now < TROUBLE_AT_MS || now >= TROUBLE_AT_MS + TROUBLE_MS)
      return false;
    answers += 1;
    return Math.floor(answers * SPOILT_SHARE) > Math.floor((answers - 1) * SPOILT_SHARE);
  };
  const answer = async (call, response, runner) => {
    await wait(WORK_MS);
    if (isSpoiling(runner)) {
      spoilt += 1;
      record('answer-spoilt', { runner: runner.id, id: call.id });
      sendSpoiltAnswer(call, response, runner);
    } else sendAnswer(call, response, runner);
  };
  for (const number of [1, 2, 3])
    await deployment.startRunner({ id: `i-ledger-${number}`, service: 'ledger', slots: 6, answer });
  const router = await deployment.startRouter('front-zone-a-1');
  await wait(startedAt - Date.now());

  const sent = [];
  for (let count = 0; Date.now() - startedAt < END_MS; count += 1) {
    const options = {
      method: 'POST',
      path: `/post/${count}`,
      body: `booking ${count}`,
      timeoutMs: DEADLINE_MS,
    };
    sent.push(deployment.send(router, options));
    await wait(1000 / POSTS_PER_S);
  }
  const results = await Promise.all(sent);
  const isAnsweredBy = ({ end, endMs }, ms) => end === 'complete' && endMs <= ms;
  const open = results.filter((result) => !isAnsweredBy(result, TIMEOUT_MS));
  const late = open.filter((result) => !isAnsweredBy(result, TIMEOUT_MS + LATE_MS));
  const served = results.filter(({ status }) => status === 200).length;
  record('result', {
    sent: results.length,
    served,
    spoilt,
    openAtTimeout: open.length,
    openHalfASecondLater: late.length,
  });
  process.stdout.write(
    `${spoilt} answers were spoilt. ${open.length} of ${results.length} requests were unanswered at timeoutMs, ` +
      `${late.length} of them still 0.5 s later.\n`,
  );
  if (served === 0) throw new Error('No request was served.');
  return late.length >= 8 && late.length > open.length / 2;
}

const deployment = new Deployment(process.env.RECORD);
let exitCode = 2;
try {
  exitCode = (await play(deployment)) ? 1 : 0;
} catch (error) {
  process.stderr.write(`${error.stack}\n`);
} finally {
  await deployment.stop();
}
process.exit(exitCode);
