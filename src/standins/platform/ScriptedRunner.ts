import type { IncomingMessage, ServerResponse } from 'node:http';
import { readBody, startServer } from '../HttpTools.js';

/** One request that a scripted runner got. */
export interface IRunnerCall {
  method: string;
  path: string;
  headers: IncomingMessage['headers'];
  body: string;
}

/** Answers a request at a scripted runner. */
export type AnswerRunnerCall = (call: IRunnerCall, response: ServerResponse) => void | Promise<void>;

/** A scripted runner of the users' platform. */
export interface IRunnerStandIn {
  id: string;
  /** `ip:port`. */
  address: string;
  calls: IRunnerCall[];
  answer: AnswerRunnerCall;
  /** What the runner reports of its runs: id, tokens, events made, priority. */
  runs: (string | number)[][];
  close: () => Promise<void>;
}

/** Starts a runner whose answers a test scripts. It answers whole calls by default. */
export async function startRunnerStandIn(id: string): Promise<IRunnerStandIn> {
  const runner: IRunnerStandIn = {
    id,
    address: '',
    calls: [],
    answer: (call, response) => {
      sendWhole(call, response, 200, `answer of ${id}`);
    },
    runs: [],
    close: () => Promise.resolve(),
  };
  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    if (request.url === '/-/report') {
      response.end(JSON.stringify({ numWaiting: 0, runs: runner.runs }));
      return;
    }
    const body = (await readBody(request)).toString();
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

/** Sends a whole answer with the runner's signature. */
export function sendWhole(call: IRunnerCall, response: ServerResponse, status: number, text: string): void {
  response.writeHead(status, { ...buildHead(call), 'content-length': Buffer.byteLength(text) });
  response.end(text);
}

/** Begins a stream with the runner's signature. */
export function startStream(call: IRunnerCall, response: ServerResponse, confidence = 90): void {
  response.writeHead(200, {
    ...buildHead(call),
    'content-type': 'text/event-stream',
    confidence: String(confidence),
  });
}

/** Sends events `from` to `to` of a stream; their ids are their numbers. */
export function sendEvents(response: ServerResponse, from: number, to: number): void {
  for (let id = from; id <= to; id += 1) response.write(`id: ${id}\ndata: piece ${id}\n\n`);
}

function buildHead({ headers }: IRunnerCall): Record<string, string> {
  return { 'attempt-id': headers['attempt-id']?.toString() ?? '', 'response-stamp': 'signed' };
}
