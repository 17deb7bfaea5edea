import type { IClock, Millis } from '../Types.js';

/** One step of a graceful stop. */
export interface IDrainStep {
  name: string;
  run: () => Promise<void>;
  /** Time after which the next step starts even if this one has not ended. */
  timeoutMs: Millis;
}

/** How a step ended. */
export interface IDrainResult {
  name: string;
  outcome: 'finished' | 'failed' | 'timed-out';
}

/**
 * Runs the steps of a graceful stop in order. A step that fails or hangs does not prevent the later ones,
 * so that a lease is released even if the last commit to the store failed.
 */
export async function runDrain(clock: IClock, steps: readonly IDrainStep[]): Promise<IDrainResult[]> {
  const results: IDrainResult[] = [];
  for (const step of steps) results.push({ name: step.name, outcome: await runStep(clock, step) });
  return results;
}

function runStep(clock: IClock, step: IDrainStep): Promise<IDrainResult['outcome']> {
  return new Promise((resolve) => {
    const timer = clock.schedule(step.timeoutMs, () => {
      resolve('timed-out');
    });
    const end = (outcome: IDrainResult['outcome']): void => {
      timer.dispose();
      resolve(outcome);
    };
    step.run().then(
      () => {
        end('finished');
      },
      () => {
        end('failed');
      },
    );
  });
}
