import { request as sendRequest } from 'undici';
import { waitFor } from '../src/standins/HttpTools.js';

/** Reads JSON from a stand-in or a host. */
export async function fetchJson(url: string): Promise<unknown> {
  const reply = await sendRequest(url);
  return reply.body.json();
}

/** Sends JSON with PUT, as for the faults of a stand-in. */
export async function putJson(url: string, body: unknown): Promise<void> {
  const reply = await sendRequest(url, { method: 'PUT', body: JSON.stringify(body) });
  await reply.body.dump();
  if (reply.statusCode !== 200) throw new Error(`PUT ${url} answered ${reply.statusCode}.`);
}

/** Waits until a check holds. */
export async function waitUntil(
  check: () => Promise<boolean>,
  timeoutMs: number,
  intervalMs = 20,
): Promise<void> {
  const end = performance.now() + timeoutMs;
  while (!(await check())) {
    if (performance.now() > end) throw new Error('A condition did not hold in time.');
    await waitFor(intervalMs);
  }
}

/** Tells whether a host reports ready. */
export async function isReady(address: string): Promise<boolean> {
  try {
    const reply = await sendRequest(`${address}/health`, { signal: AbortSignal.timeout(1000) });
    await reply.body.dump();
    return reply.statusCode === 200;
  } catch {
    return false;
  }
}
