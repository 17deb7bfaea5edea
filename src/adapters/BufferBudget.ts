/** A response whose body is buffered until it is complete. */
export interface IBufferedResponse {
  /** Adds bytes, or gives some back; may abort the response with the most bytes, which can be this one. */
  addBytes: (count: number) => void;
  /** Ends the buffering. */
  release: () => void;
}

/** Limits the memory of all buffered responses together. */
export interface IBufferBudget {
  /** Adds a response. `abort` is called if the limit is exceeded and this response has to pay for it. */
  addResponse: (abort: () => void) => IBufferedResponse;
}

/** Bytes that all responses of a host may buffer together. It leaves most of a small host's memory free. */
const MAX_TOTAL_BYTES = 33_554_432;

/**
 * Limits the memory of all buffered responses together. Each response has a limit of its own, but many large
 * ones at the same time would exceed the memory of the host.
 */
export class BufferBudget implements IBufferBudget {
  private readonly _responses = new Map<IBufferedResponse, { bytes: number; abort: () => void }>();
  private _totalBytes = 0;

  constructor(private readonly _maxTotalBytes: number = MAX_TOTAL_BYTES) {}

  /** Adds a response. `abort` is called if it has the most bytes when the limit is exceeded. */
  public addResponse(abort: () => void): IBufferedResponse {
    const usage = { bytes: 0, abort };
    const response: IBufferedResponse = {
      addBytes: (count) => {
        if (!this._responses.has(response)) return;
        usage.bytes += count;
        this._totalBytes += count;
        if (count > 0 && this._totalBytes > this._maxTotalBytes) this._abortLargest();
      },
      release: () => {
        if (this._responses.delete(response)) this._totalBytes -= usage.bytes;
      },
    };
    this._responses.set(response, usage);
    return response;
  }

  private _abortLargest(): void {
    const [largest] = [...this._responses].sort(([, first], [, second]) => second.bytes - first.bytes);
    if (!largest) return;
    const [response, { abort }] = largest;
    response.release();
    abort();
  }
}
