import type { EndMark } from '../common/request/Types.js';

/** What tells how the end of a response is marked. */
export interface IResponseForm {
  method: string;
  status: number;
  /** Returns the value of a header by its name in lower case. Several values are joined by commas. */
  findHeader: (name: string) => string | undefined;
}

/** Statuses of responses that have no body, so that they end with their head. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** The only transfer encoding of which the end is certain. The parser takes others for it too. */
const CHUNKED_ENCODING = /^[\t ]*chunked[\t ]*$/i;

/**
 * Tells whether a response has a body, so that its head tells how its endpoint marks ends.
 * @example
 * hasBody({ method: 'HEAD', status: 200 }); // false
 */
export function hasBody({ method, status }: Pick<IResponseForm, 'method' | 'status'>): boolean {
  return method !== 'HEAD' && !BODILESS_STATUSES.has(status);
}

/**
 * Finds what marks the end of a response, by the rules of HTTP/1.1 on the length of a message.
 * @example
 * findEndMark({ method: 'GET', status: 200, findHeader: () => undefined }); // 'connection'
 */
export function findEndMark({ findHeader, method, status }: IResponseForm): EndMark {
  if (!hasBody({ method, status })) return 'length';
  // A transfer encoding goes before a length, and one that does not end with chunks lasts until the connection ends.
  const encoding = findHeader('transfer-encoding');
  if (encoding !== undefined) return CHUNKED_ENCODING.test(encoding) ? 'chunks' : 'connection';
  return findHeader('content-length') === undefined ? 'connection' : 'length';
}

/**
 * Tells whether the head of a response says clearly where its body ends. undici reads a body of any other transfer
 * encoding than chunks to a last chunk or to the end of the connection, so that a misspelt one gives a spoilt body.
 * Lengths that are not clear are errors of undici.
 * @example
 * hasSoundFraming({ method: 'GET', status: 200, findHeader: () => 'chunked, chunked' }); // false
 */
export function hasSoundFraming({ findHeader, method, status }: IResponseForm): boolean {
  if (!hasBody({ method, status })) return true;
  const encoding = findHeader('transfer-encoding');
  return encoding === undefined || CHUNKED_ENCODING.test(encoding);
}
