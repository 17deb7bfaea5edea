/**
 * Loaded into a router before its program: SIGUSR2 sets its time of day forward or back by turns, as a
 * platform does that corrects a clock.
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
