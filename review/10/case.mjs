// Sound runners end their streams with their connections. Machines are stopped and started in turn; with TROUBLE=0 none is.
import { fileURLToPath } from 'node:url';
import { wait } from '../standins-3/case.mjs';
import { runRestartCase } from '../standins-3/restarts.mjs';
import { buildHead } from '../standins-3/runner.mjs';

const EVENT_COUNT = 8;
const EVENT_INTERVAL_MS = 20;

async function sendStream(request, socket) {
  const headers = {
    'Response-Stamp': `stamp.${request.id}`,
    'Content-Type': 'text/event-stream',
    Connection: 'close',
  };
  socket.write(buildHead(request, '200 OK', headers));
  for (let id = 1; id <= EVENT_COUNT; id += 1) {
    await wait(EVENT_INTERVAL_MS);
    if (socket.destroyed) return false;
    socket.write(`id: ${id}\ndata: piece ${id}\n\n`);
  }
  socket.end();
  return true;
}

await runRestartCase({ file: fileURLToPath(new URL('record.txt', import.meta.url)), sendStream });
