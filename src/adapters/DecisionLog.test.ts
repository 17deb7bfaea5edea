import { spawn } from 'node:child_process';
import { Writable } from 'node:stream';
import test from 'ava';
import { ManualClock } from '../testing/ManualClock.js';
import { DecisionLog } from './DecisionLog.js';

/** Creates a stream that stores its lines, or one whose writes never end, as if its reader had stopped. */
function createLogStream(acceptsWrites: boolean): { stream: Writable; lines: string[] } {
  const lines: string[] = [];
  const stream = new Writable({
    write: (chunk: Buffer, _encoding, onWritten) => {
      if (!acceptsWrites) return;
      lines.push(chunk.toString());
      onWritten();
    },
  });
  return { stream, lines };
}

// Guards against a log volume that grows with the load, and against dropped lines that are not reported.
test('lines above the rate limit are dropped and counted', async (t) => {
  const clock = new ManualClock();
  const { lines, stream } = createLogStream(true);
  const log = new DecisionLog({ clock, stream, host: 'host-1', maxLinesPerS: 3 });
  for (let count = 0; count < 100; count += 1) log.write('request.received', { count });
  await clock.advance(1000);
  log.write('request.received', { count: 100 });
  await clock.advance(0);
  t.snapshot(lines.map((line) => JSON.parse(line) as unknown));
});

// Guards against unbounded memory use when the reader of the log has stopped reading.
test('the buffered output is bounded when the reader has stopped', async (t) => {
  const clock = new ManualClock();
  const { stream } = createLogStream(false);
  const log = new DecisionLog({ clock, stream, host: 'host-1', maxLinesPerS: Infinity });
  const text = 'x'.repeat(1000);
  for (let count = 0; count < 5000; count += 1) log.write('request.received', { text });
  await clock.advance(0);
  t.true(stream.writableLength < 1_200_000, String(stream.writableLength));
});

const CHILD_SCRIPT = `
const { DecisionLog, openStandardOutput } = await import(process.argv[1]);
const clock = { now: () => performance.now(), schedule: () => ({ dispose: () => undefined }) };
const log = new DecisionLog({ clock, stream: openStandardOutput(), host: 'h', maxLinesPerS: Infinity });
for (let count = 0; count < 20000; count += 1) log.write('request.received', { text: 'x'.repeat(100) });
process.stderr.write('served on', () => process.exit(0));
`;

// Guards against a process that blocks because nobody reads its standard output.
test('a blocked standard output does not block the process', async (t) => {
  const module = new URL('./DecisionLog.js', import.meta.url).href;
  const child = spawn(process.execPath, ['--input-type=module', '-e', CHILD_SCRIPT, module], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const text = await new Promise<string>((resolve) => {
    const timer = setTimeout(() => {
      child.kill('SIGKILL');
      resolve('blocked');
    }, 20_000);
    child.stderr.once('data', (chunk: Buffer) => {
      clearTimeout(timer);
      resolve(chunk.toString());
    });
  });
  t.is(text, 'served on');
});
