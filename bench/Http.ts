import { request as sendRequest } from 'undici';
import { waitFor } from '../src/standins/HttpTools.js';

/** Fetches a JSON document from a stand-in or a host. */
export async function fetchJson(url: string): Promise<unknown> {
  const reply = await sendRequest(url);
  return reply.body.json();
}

/** Sends a JSON document with PUT, for example the faults that a stand-in is to inject. */
export async function putJson(url: string, body: unknown): Promise<void> {
  const reply = await sendRequest(url, { method: 'PUT', body: JSON.stringify(body) });
  await reply.body.dump();
  if (reply.statusCode !== 200) throw new Error(`PUT ${url} returned status ${reply.statusCode}.`);
}

/** Polls `check` until it returns true; throws when the time limit is over. */
export async function waitUntil(
  check: () => Promise<boolean>,
  timeoutMs: number,
  intervalMs = 20,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  while (!(await check())) {
    if (performance.now() > deadline) throw new Error(`The condition was not met within ${timeoutMs} ms.`);
    await waitFor(intervalMs);
  }
}

/** Tells whether the health check of a host reports that it is ready. */
export async function isReady(address: string): Promise<boolean> {
  try {
    const reply = await sendRequest(`${address}/health`, { signal: AbortSignal.timeout(1000) });
    await reply.body.dump();
    return reply.statusCode === 200;
  } catch {
    return false;
  }
}
