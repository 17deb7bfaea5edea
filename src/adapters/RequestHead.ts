/** A host and an optional port, as the `Host` header names them. */
const HOST_PATTERN = /^(?:[\w\-.~%!$&'()*+,;=]*|\[[\da-f:.]+\])(?::\d*)?$/i;

/**
 * Finds what makes the head of a request invalid although Node.js takes it: it names several hosts, or one that is none
 * (RFC 9112, section 3.2). Returns `undefined` if the head is valid. `rawHeaders` alternates names and values.
 * @example
 * findHeadFault(['Host', 'a.example', 'host', 'b.example']); // 'The request has several Host headers.'
 */
export function findHeadFault(rawHeaders: readonly string[]): string | undefined {
  let host: string | undefined;
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() !== 'host') continue;
    if (host !== undefined) return 'The request has several Host headers.';
    host = rawHeaders[index + 1] ?? '';
  }
  return host === undefined || HOST_PATTERN.test(host) ? undefined : 'The Host header names no host.';
}

/**
 * Counts the characters of a request's target and headers, each of which takes a byte of the heap.
 * @example
 * countHeadBytes({ url: '/a', rawHeaders: ['Host', 'a.example'] }); // 15
 */
export function countHeadBytes({
  rawHeaders,
  url = '',
}: {
  rawHeaders: readonly string[];
  url?: string | undefined;
}): number {
  let bytes = url.length;
  for (const text of rawHeaders) bytes += text.length;
  return bytes;
}
