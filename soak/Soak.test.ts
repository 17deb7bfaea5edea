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

// Guards against violations of promises under planned work, and under faults of every kind at the same time.
for (const [seed, profile] of [
  [101, 'planned'],
  [102, 'mixed'],
  [103, 'links'],
] as const) {
  test.serial(`short soak with seed ${seed}, ${profile}`, async (t) => {
    const { findings, served } = await runSoak({ seed, profile, durationMs: 6000, folder });
    t.deepEqual(findings, []);
    t.true(served > 0);
  });
}

// Guards against the return of faults of the product that earlier soaks found.
for (const { cause, options } of REGRESSIONS) {
  test.serial(`soak with seed ${options.seed}: ${cause}`, async (t) => {
    const { findings } = await runSoak({ ...options, folder });
    t.deepEqual(findings, []);
  });
}
