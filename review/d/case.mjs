// Sound runners number the events of a stream by its tokens, three to an event. Machines are stopped and started in turn.
import { fileURLToPath } from 'node:url';
import { wait } from '../standins-3/case.mjs';
import { runRestartCase } from '../standins-3/restarts.mjs';
import { buildHead } from '../standins-3/runner.mjs';

const EVENT_COUNT = 8;
const EVENT_INTERVAL_MS = 20;
const TOKENS_PER_EVENT = 3;

function buildChunk(text) {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

async function sendStream(request, socket) {
  const headers = {
    'Response-Stamp': `stamp.${request.id}`,
    'Content-Type': 'text/event-stream',
    'Transfer-Encoding': 'chunked',
  };
  socket.write(buildHead(request, '200 OK', headers));
  for (let event = 1; event <= EVENT_COUNT; event += 1) {
    await wait(EVENT_INTERVAL_MS);
    if (socket.destroyed) return false;
    socket.write(buildChunk(`id: ${event * TOKENS_PER_EVENT}\ndata: piece ${event}\n\n`));
  }
  socket.write('0\r\n\r\n');
  return true;
}

await runRestartCase({ file: fileURLToPath(new URL('record.txt', import.meta.url)), sendStream });
