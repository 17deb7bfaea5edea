/** A body that exceeds the bytes that its reader takes. Its connection is closed. */
export class BodyLimitError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'BodyLimitError';
  }
}

/** Codes of errors by which the bytes that arrived are no response, besides those of the parser. */
const MALFORMED_CODES: ReadonlySet<unknown> = new Set(['UND_ERR_HEADERS_OVERFLOW']);
const PARSER_CODE_PREFIX = 'HPE_';

/**
 * Tells whether a call failed because of what the other side sent, while the connection worked.
 * @example
 * isMalformedResponse(Object.assign(new Error(), { code: 'UND_ERR_HEADERS_OVERFLOW' })); // true
 */
export function isMalformedResponse(error: unknown): boolean {
  const code = error instanceof Error && 'code' in error ? error.code : undefined;
  return MALFORMED_CODES.has(code) || (typeof code === 'string' && code.startsWith(PARSER_CODE_PREFIX));
}
