/** A body that exceeds the bytes that its reader takes. Its connection is closed. */
export class BodyLimitError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'BodyLimitError';
  }
}

/** A body that was dropped because the host lacks memory, for which the other side is not to blame. */
export class BodyBudgetError extends Error {
  constructor() {
    super('The host has no memory for the body.');
    this.name = 'BodyBudgetError';
  }
}

const OVERHEAD_CODE = 'ERR_RESPONSE_OVERHEAD';

/** A response with more bytes besides its body than allowed. Its connection is closed. */
export class ResponseOverheadError extends Error {
  public readonly code = OVERHEAD_CODE;

  constructor() {
    super('The response has too many bytes besides its body.');
    this.name = 'ResponseOverheadError';
  }
}

const STATUS_CODE = 'ERR_RESPONSE_STATUS';

/** A response with a status that no response to its request can have. Its connection is closed. */
export class ResponseStatusError extends Error {
  public readonly code = STATUS_CODE;

  constructor(status: number) {
    super(`The response has the status ${status}.`);
    this.name = 'ResponseStatusError';
  }
}

/** Codes of errors by which the bytes that arrived are no response, besides those of the parser. */
const MALFORMED_CODES: ReadonlySet<unknown> = new Set([
  OVERHEAD_CODE,
  STATUS_CODE,
  'UND_ERR_HEADERS_OVERFLOW',
]);
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
