/** Shows a value as it was some time ago, as an engine's load reports do. */
export class LaggedValue<T> {
  private readonly _past: { at: number; value: T }[] = [];

  constructor(
    private readonly _lagMs: number,
    private readonly _readNow: () => number,
  ) {}

  /** Records the present value and returns the latest one that is old enough. */
  public update(value: T): T {
    const now = this._readNow();
    this._past.push({ at: now, value });
    while ((this._past[1]?.at ?? Infinity) <= now - this._lagMs) this._past.shift();
    return this._past[0]?.value ?? value;
  }
}
