/** Ends a request that undici has begun to send. */
export type AbortRequest = (error?: Error) => void;

/** Handler of a response, as undici calls it after any conversion. Its types mark these names as deprecated. */
export interface IResponseHandler {
  onConnect?: (abort: AbortRequest, ...args: unknown[]) => void;
  onResponseStarted?: () => void;
  onHeaders?: (status: number, ...args: unknown[]) => boolean;
  onData?: (chunk: Buffer) => boolean;
  onComplete?: (...args: unknown[]) => void;
  onError?: (error: Error) => void;
  onUpgrade?: (...args: unknown[]) => void;
  onBodySent?: (...args: unknown[]) => void;
}

/** Passes every call on to another handler. Base of the handlers that add something to a response. */
export class ForwardingHandler implements IResponseHandler {
  constructor(private readonly _handler: IResponseHandler) {}

  public onConnect(abort: AbortRequest, ...args: unknown[]): void {
    this._handler.onConnect?.(abort, ...args);
  }

  public onResponseStarted(): void {
    this._handler.onResponseStarted?.();
  }

  public onHeaders(status: number, ...args: unknown[]): boolean {
    return this._handler.onHeaders?.(status, ...args) ?? true;
  }

  public onData(chunk: Buffer): boolean {
    return this._handler.onData?.(chunk) ?? true;
  }

  public onComplete(...args: unknown[]): void {
    this._handler.onComplete?.(...args);
  }

  public onError(error: Error): void {
    this._handler.onError?.(error);
  }

  public onUpgrade(...args: unknown[]): void {
    this._handler.onUpgrade?.(...args);
  }

  public onBodySent(...args: unknown[]): void {
    this._handler.onBodySent?.(...args);
  }
}
