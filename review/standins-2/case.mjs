import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

/** Exit codes of a case. */
const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;

const MAX_DURATION_MS = 110_000;

/**
 * Runs a case and ends the process with its exit code. `play` gets a temporary folder, whether the disruption is on, a
 * function that writes a line to the record, and one that registers what has to be ended. It resolves to whether the rule
 * was broken and a line that says why.
 */
export async function runCase(recordFile, play) {
  const hasTrouble = process.env.TROUBLE !== '0';
  const startedAt = Date.now();
  const lines = [];
  const cleanUps = [];
  const folder = mkdtempSync(join(tmpdir(), 'case-'));
  const note = (...words) => {
    lines.push(`${String(Date.now() - startedAt).padStart(6)} ms  ${words.join(' ')}`);
  };
  const finish = async (code, verdict) => {
    note(verdict);
    for (const cleanUp of cleanUps.reverse()) await cleanUp();
    rmSync(folder, { recursive: true, force: true });
    const head = `disruption: ${hasTrouble ? 'on' : 'off'}`;
    writeFileSync(recordFile, `${head}\n${lines.join('\n')}\n`);
    process.stdout.write(`${head}\n${verdict}\n`);
    process.exit(code);
  };
  setTimeout(() => finish(NOT_RUN, 'The case took too long.'), MAX_DURATION_MS).unref();
  try {
    const { isBroken, verdict } = await play({
      folder,
      hasTrouble,
      note,
      onEnd: (cleanUp) => cleanUps.push(cleanUp),
    });
    await finish(isBroken ? BROKEN : HELD, verdict);
  } catch (error) {
    await finish(NOT_RUN, `The case could not run: ${error.stack}`);
  }
}
