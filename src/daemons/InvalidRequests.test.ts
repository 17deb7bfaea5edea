import { connect } from 'node:net';
import test from 'ava';
import { RouterRig } from '../standins/platform/RouterRig.js';
import { sendFullAnswer } from '../standins/platform/ScriptedRunner.js';

/** More than the connections that a host has to one endpoint, and than a retry budget allows. */
const REPEATS = 120;

const HOST = 'host: a.example';

/** Requests that no endpoint may be blamed for: the request line and the headers besides the key and the id. */
const INVALID_REQUESTS: Readonly<Record<string, readonly [line: string, ...headers: string[]]>> = {
  'two hosts': ['GET /look/1', HOST, HOST],
  'two different hosts': ['GET /look/1', HOST, 'host: b.example'],
  'no host': ['GET /look/1'],
  'a host that is none': ['GET /look/1', 'host: a.example/x y'],
  'an unknown expectation': ['GET /look/1', HOST, 'expect: tea'],
  'a path without a slash': ['GET look/1', HOST],
  'a name with a space': ['GET /look/1', HOST, 'x y: 1'],
  'two lengths': ['POST /look/1', HOST, 'content-length: 0', 'content-length: 1'],
  'a length and chunks': ['POST /look/1', HOST, 'content-length: 0', 'transfer-encoding: chunked'],
  'a control character': ['GET /look/1', HOST, 'x-a: \u0001'],
};

/** Sends a request on a connection of its own and returns the status of the response, or what it got instead. */
function sendRaw(address: string, [line, ...headers]: readonly string[], id: string): Promise<string> {
  const [host, port] = address.split(':');
  const lines = [`${line} HTTP/1.1`, ...headers, 'authorization: Token key-north', `attempt-id: ${id}`];
  return new Promise((resolve) => {
    let text = '';
    const socket = connect(Number(port), host, () => {
      socket.write([...lines, 'deadline-ms: 2000', 'connection: close', '\r\n'].join('\r\n'), 'latin1');
    });
    socket.on('data', (bytes) => (text += bytes.toString('latin1')));
    socket.on('error', () => undefined);
    socket.on('close', () => {
      resolve(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? 'none');
    });
  });
}

// Guards against endpoints that get no more work, or lose their place, because of what a caller sent.
test('an invalid request is refused at once and costs only its sender', async (t) => {
  const rig = await RouterRig.startReady();
  for (const runner of rig.runners)
    runner.answer = (call, response) => {
      sendFullAnswer(call, response, 200, 'done');
    };
  const statuses: Record<string, unknown> = {};
  for (const [name, request] of Object.entries(INVALID_REQUESTS)) {
    const sent = Array.from({ length: REPEATS }, (_, index) =>
      sendRaw(rig.frontAddress, request, `${name}-${index}`),
    );
    const replies = [...new Set(await Promise.all(sent))];
    const looks = await Promise.all(
      ['/look/a', '/look/b', '/look/c'].map((path) => rig.send(path, { 'deadline-ms': '1000' })),
    );
    statuses[name] = [replies.join(), looks.map(({ status }) => status).join()];
  }
  const reached = rig.runners.flatMap(({ calls }) => calls).filter(({ path }) => path.endsWith('/1')).length;
  const suspected = rig.events.filter(
    ({ kind, fields }) => kind === 'endpoint.health' && fields.health !== 'healthy',
  );
  await rig.close();
  t.snapshot({ statuses, reached, suspected: suspected.length });
});
