/** Delays a value by a fixed lag, because load reports of real engines are out of date too. */
export class LaggedValue<T> {
  private readonly _samples: { at: number; value: T }[] = [];

  constructor(
    private readonly _lagMs: number,
    private readonly _readNow: () => number,
  ) {}

  /** Records the current value. Returns the newest value that is at least as old as the lag, or else the oldest. */
  public update(value: T): T {
    const now = this._readNow();
    this._samples.push({ at: now, value });
    while ((this._samples[1]?.at ?? Infinity) <= now - this._lagMs) this._samples.shift();
    return this._samples[0]?.value ?? value;
  }
}
