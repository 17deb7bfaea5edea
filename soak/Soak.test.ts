import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { REGRESSIONS } from './Regressions.js';
import { runSoak } from './Soak.js';

const folder = mkdtempSync(join(tmpdir(), 'mulberryweir-soak-'));
test.after.always(() => {
  rmSync(folder, { recursive: true });
});

// Guards against promises that break under planned work, and under faults of every kind at once.
for (const [seed, profile] of [
  [101, 'planned'],
  [102, 'mixed'],
] as const) {
  test.serial(`short soak with seed ${seed}, ${profile}`, async (t) => {
    const { findings, served } = await runSoak({ seed, profile, durationMs: 6000, folder });
    t.deepEqual(findings, []);
    t.true(served > 0);
  });
}

// Guards against the return of faults that the soak found.
for (const { cause, run } of REGRESSIONS) {
  test.serial(`soak with seed ${run.seed}: ${cause}`, async (t) => {
    const { findings } = await runSoak({ ...run, folder });
    t.deepEqual(findings, []);
  });
}
