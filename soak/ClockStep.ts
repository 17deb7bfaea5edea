/**
 * Loaded into a router process before its program. Each SIGUSR2 steps the process's wall clock, alternately
 * one hour ahead and one hour behind the real time, as when a platform corrects a clock.
 */
const STEP_MS = 3_600_000;
const RealDate = Date;
let offsetMs = 0;

globalThis.Date = class extends RealDate {
  constructor(...values: readonly unknown[]) {
    if (values.length === 0) super(RealDate.now() + offsetMs);
    else super(...(values as [number]));
  }

  public static override readonly now = (): number => RealDate.now() + offsetMs;
} as DateConstructor;

process.on('SIGUSR2', () => {
  offsetMs = offsetMs > 0 ? -STEP_MS : STEP_MS;
});
