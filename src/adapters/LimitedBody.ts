import type { Dispatcher } from 'undici';
import type { IBufferBudget } from './BufferBudget.js';
import { ByteCollector } from './ByteCollector.js';
import { BodyBudgetError, BodyLimitError } from './ResponseErrors.js';

/** Options of reading a whole body. */
export interface IBodyLimit {
  /** Bytes that the body may have. The other side may send without end. */
  maxBytes: number;
  /** Bytes that this body and others may have together. Default: no such limit. */
  budget?: IBufferBudget;
  /** Length of the body as its head names it. Default: not known. */
  expectedBytes?: number;
  /** Called for each part that arrives. */
  onChunk?: () => void;
}

/**
 * Reads a whole body. Rejects with `BodyLimitError` or `BodyBudgetError` and closes the connection as soon as the body
 * exceeds a limit.
 * @example
 * const bytes = await readLimitedBytes(response.body, { maxBytes: 8_388_608, budget });
 */
export function readLimitedBytes(
  body: Dispatcher.ResponseData['body'],
  { budget, expectedBytes = 0, maxBytes, onChunk }: IBodyLimit,
): Promise<Buffer> {
  const collector = new ByteCollector(Math.min(expectedBytes, maxBytes));
  let length = 0;
  const abortRead = (error: Error): void => {
    collector.clear();
    body.destroy(error);
  };
  const buffered = budget?.addResponse(() => {
    abortRead(new BodyBudgetError());
  });
  // An async iterator would cost a promise and a turn of the microtask queue for each part.
  return new Promise<Buffer>((resolve, reject) => {
    body.on('data', (chunk: Buffer) => {
      if (body.destroyed) return;
      length += chunk.length;
      if (length > maxBytes) abortRead(new BodyLimitError(`The body exceeds ${maxBytes} bytes.`));
      else {
        const heldBefore = collector.heldBytes;
        collector.add(chunk);
        buffered?.addBytes(collector.heldBytes - heldBefore);
        onChunk?.();
      }
    });
    body.once('error', reject);
    body.once('end', () => {
      resolve(collector.combine());
    });
    body.once('close', () => {
      reject(new Error('The body was closed before its end.'));
    });
  }).finally(() => buffered?.release());
}

/**
 * Reads a whole body as text, with the limit of `readLimitedBytes`.
 * @example
 * const text = await readLimitedText(response.body, { maxBytes: 65_536 });
 */
export async function readLimitedText(
  body: Dispatcher.ResponseData['body'],
  limit: IBodyLimit,
): Promise<string> {
  return (await readLimitedBytes(body, limit)).toString('utf8');
}

/**
 * Reads a whole body and parses it as JSON, with the limit of `readLimitedBytes`.
 * @example
 * const value = await readLimitedJson(response.body, { maxBytes: 65_536 });
 */
export async function readLimitedJson(
  body: Dispatcher.ResponseData['body'],
  limit: IBodyLimit,
): Promise<unknown> {
  return JSON.parse(await readLimitedText(body, limit));
}
