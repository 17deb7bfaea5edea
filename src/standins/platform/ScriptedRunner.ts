import type { IncomingMessage, ServerResponse } from 'node:http';
import { readBody, startServer } from '../HttpTools.js';

/** One request that a scripted runner received. */
export interface IRunnerCall {
  method: string;
  path: string;
  headers: IncomingMessage['headers'];
  body: string;
}

/** Answers a request that a scripted runner received. */
export type AnswerRunnerCall = (call: IRunnerCall, response: ServerResponse) => void | Promise<void>;

/** A fake runner of the users' platform whose answers are set by a test. */
export interface IRunnerStandIn {
  id: string;
  /** `ip:port`. */
  address: string;
  /** Requests received, in order, except those for the report. */
  calls: IRunnerCall[];
  /** Answers requests; a test replaces it to change the answers. */
  answer: AnswerRunnerCall;
  /** Runs in the runner's report, each as `[id, tokens in memory, events produced, priority]`. */
  reportedRuns: (string | number)[][];
  /** Requests are taken, but handled only once this resolves. A test replaces it to make the runner fall silent. */
  pause: Promise<void>;
  close: () => Promise<void>;
}

/** Starts a runner whose answers a test can replace. By default it sends a complete answer with status 200. */
export async function startRunnerStandIn(id: string): Promise<IRunnerStandIn> {
  const runner: IRunnerStandIn = {
    id,
    address: '',
    calls: [],
    answer: (call, response) => {
      sendFullAnswer(call, response, 200, `answer of ${id}`);
    },
    reportedRuns: [],
    pause: Promise.resolve(),
    close: () => Promise.resolve(),
  };
  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    if (request.url === '/-/report') {
      await runner.pause;
      response.end(JSON.stringify({ numWaiting: 0, runs: runner.reportedRuns }));
      return;
    }
    const body = (await readBody(request)).toString();
    await runner.pause;
    const call = { method: request.method ?? '', path: request.url ?? '', headers: request.headers, body };
    runner.calls.push(call);
    await runner.answer(call, response);
  };
  const server = await startServer((request, response) => {
    void handle(request, response);
  });
  runner.address = server.address.replace('http://', '');
  runner.close = server.close;
  return runner;
}

/** Sends a complete answer with the headers that a runner adds to its responses. */
export function sendFullAnswer(
  call: IRunnerCall,
  response: ServerResponse,
  status: number,
  text: string,
): void {
  response.writeHead(status, { ...buildRunnerHeaders(call), 'content-length': Buffer.byteLength(text) });
  response.end(text);
}

/** Starts an event stream with the headers that a runner adds to its responses. */
export function startStream(call: IRunnerCall, response: ServerResponse, confidence = 90): void {
  response.writeHead(200, {
    ...buildRunnerHeaders(call),
    'content-type': 'text/event-stream',
    confidence: String(confidence),
  });
}

/** Formats events with the given ids. The data of an event repeats its id. */
export function formatEvents(ids: readonly number[]): string[] {
  return ids.map((id) => `id: ${id}\ndata: piece ${id}\n\n`);
}

/** Sends the events `from` to `to` of a stream, both included. The id of an event is its number. */
export function sendEvents(response: ServerResponse, from: number, to: number): void {
  for (let id = from; id <= to; id += 1) response.write(`id: ${id}\ndata: piece ${id}\n\n`);
}

/** Builds the headers by which a router recognizes a response of a runner to this attempt. */
export function buildRunnerHeaders({ headers }: IRunnerCall): Record<string, string> {
  return { 'attempt-id': headers['attempt-id']?.toString() ?? '', 'response-stamp': 'signed' };
}
