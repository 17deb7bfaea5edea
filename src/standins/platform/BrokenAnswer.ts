import type { ServerResponse } from 'node:http';
import { buildRunnerHeaders, startStream, type IRunnerCall } from './ScriptedRunner.js';

export const FRAMINGS = ['length', 'chunks', 'connection'] as const;
export const PLACES = [
  'before-first',
  'between-events',
  'inside-event',
  'after-comment',
  'before-last',
] as const;

/** What marks the end of an answer: its length, its last chunk, or only the end of its connection. */
export type AnswerFraming = (typeof FRAMINGS)[number];

/** A kind of stream that breaks off. */
export interface IBrokenAnswer {
  framing: AnswerFraming;
  /** Where it breaks off; `before-first` is after the head. */
  place: (typeof PLACES)[number];
  /** What happens to the connection; with `silence` it stays open. */
  cut: 'fin' | 'reset' | 'silence';
  /** When the connection is cut, counted from the last bytes. */
  timing: 'at-once' | 'after-25-ms';
}

/** Part of a kind of broken stream: nothing but the end of its connection would mark its end. */
export const UNMARKED_END = {
  framing: 'connection',
  place: 'between-events',
  timing: 'after-25-ms',
} as const satisfies Partial<IBrokenAnswer>;

/** A cut that the framing of the answer always shows. */
export const EVIDENT_CUT: IBrokenAnswer = { ...UNMARKED_END, framing: 'chunks', cut: 'fin' };

/** Last event of every stream. The id of an event is its number. */
export const LAST_EVENT = 6;

const CUT_DELAY_MS = 25;

/** What the connection of an answer carries behind its marked end. */
export type BytesBehind = 'nothing' | 'rest' | 'response' | 'repeat' | 'noise' | 'last-chunk';

/** A kind of answer whose end is marked, and what happens behind it. */
export interface IMarkedAnswer {
  /** How much of the answer is in front of the mark. */
  part: 'whole' | 'half' | 'none';
  framing: Exclude<AnswerFraming, 'connection'>;
  behind: BytesBehind;
  /** When these bytes are sent: in one write with the answer, or once its caller has it. */
  timing: 'same-write' | 'after-delivery';
  /** Whether the answer says that its connection will be closed. */
  connection: 'kept' | 'closed';
}

/** Share of the pieces of an answer in front of the mark of its end. */
const SENT_SHARES = { whole: 1, half: 0.5, none: 0 } as const;

const CLOSE_DELAY_MS = 50;
const LAST_CHUNK = '0\r\n\r\n';
const NOISE = '\x16\x03\x01\x02\xff;\r\nnoise\r\n\r\n';

/** Sends the rest of a stream, from the event after the last one that the call names, and breaks it off. */
export function sendBrokenAnswer(
  call: IRunnerCall,
  response: ServerResponse,
  { cut, framing, place, timing }: IBrokenAnswer,
): void {
  const { socket } = response;
  const events = listEvents(call, LAST_EVENT);
  socket?.write(formatHead(call, framing, events) + formatPieces(framing, pickPieces(events, place)));
  const closeConnection = (): void => {
    if (cut === 'fin') socket?.end();
    if (cut === 'reset') socket?.resetAndDestroy();
  };
  if (timing === 'at-once') closeConnection();
  else setTimeout(closeConnection, CUT_DELAY_MS);
}

/** Sends the events of a stream after the last one that the call names, up to `to`, with its proper end. */
export function sendStream(
  call: IRunnerCall,
  response: ServerResponse,
  framing: AnswerFraming,
  to = LAST_EVENT,
): void {
  const events = listEvents(call, to);
  const text = events.join('');
  if (framing === 'connection') {
    response.socket?.end(formatHead(call, framing, events) + text);
  } else {
    if (framing === 'length') response.setHeader('content-length', text.length);
    startStream(call, response);
    response.end(text);
  }
}

/**
 * Sends pieces of an answer with a proper mark of the end, and bytes behind it, which may wait for `waitForDelivery`.
 * Closes the connection later, since the server cannot use it again.
 */
export async function sendMarkedAnswer(
  call: IRunnerCall,
  { socket }: ServerResponse,
  pieces: readonly string[],
  { behind, connection, framing, part, timing }: IMarkedAnswer,
  waitForDelivery: () => Promise<void>,
): Promise<void> {
  const sent = pieces.slice(0, Math.floor(pieces.length * SENT_SHARES[part]));
  const end = framing === 'chunks' ? LAST_CHUNK : '';
  const lines = connection === 'closed' ? ['connection: close'] : [];
  const marked = formatHead(call, framing, sent, lines) + formatPieces(framing, sent) + end;
  const rest: Readonly<Record<BytesBehind, string>> = {
    nothing: '',
    rest: formatPieces(framing, pieces.slice(sent.length)) + end,
    response: marked,
    repeat: formatPieces(framing, sent) + end,
    noise: NOISE,
    'last-chunk': LAST_CHUNK,
  };
  if (timing === 'same-write') {
    socket?.write(marked + rest[behind], 'latin1');
  } else {
    socket?.write(marked);
    await waitForDelivery();
    socket?.write(rest[behind], 'latin1');
  }
  setTimeout(() => socket?.end(), CLOSE_DELAY_MS);
}

/**
 * Sends an answer in chunks with a proper end, and other header lines in place of the one that announces the chunks. The
 * connection is closed after it.
 */
export function sendOddHead(
  call: IRunnerCall,
  { socket }: ServerResponse,
  pieces: readonly string[],
  lines: readonly string[],
): void {
  socket?.end(formatHead(call, 'connection', pieces, lines) + formatPieces('chunks', pieces) + LAST_CHUNK);
}

/** Lists the events of a stream after the last one that the call names, up to `to`. */
export function listEvents({ headers }: IRunnerCall, to = LAST_EVENT): string[] {
  const from = Number(headers['last-event-id'] ?? 0) + 1;
  const ids = Array.from({ length: Math.max(0, to - from + 1) }, (_, index) => from + index);
  return ids.map((id) => `id: ${id}\ndata: piece ${id}\n\n`);
}

/** Picks what is sent of a stream before it breaks off. */
function pickPieces(events: readonly string[], place: IBrokenAnswer['place']): string[] {
  if (place === 'before-first') return [];
  if (place === 'before-last') return events.slice(0, -1);
  const half = Math.floor(events.length / 2);
  const sent = events.slice(0, half);
  if (place === 'inside-event') return [...sent, events[half]?.slice(0, 'id: 1\nda'.length) ?? ''];
  return place === 'after-comment' ? [...sent, ': comment\n\n'] : sent;
}

function formatHead(
  call: IRunnerCall,
  framing: AnswerFraming,
  events: readonly string[],
  otherLines: readonly string[] = [],
): string {
  const headers = { ...buildRunnerHeaders(call), 'content-type': 'text/event-stream', confidence: '90' };
  const lines = [...Object.entries(headers).map(([name, value]) => `${name}: ${value}`), ...otherLines];
  if (framing === 'length') lines.push(`content-length: ${events.join('').length}`);
  if (framing === 'chunks') lines.push('transfer-encoding: chunked');
  return ['HTTP/1.1 200 OK', ...lines, '\r\n'].join('\r\n');
}

function formatPieces(framing: AnswerFraming, pieces: readonly string[]): string {
  if (framing !== 'chunks') return pieces.join('');
  return pieces.map((piece) => `${piece.length.toString(16)}\r\n${piece}\r\n`).join('');
}
