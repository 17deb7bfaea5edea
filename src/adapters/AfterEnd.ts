import type { AfterEnd, EndMark } from '../common/request/Types.js';

/** What is known of a response that has ended. */
export interface IEndedResponse {
  endMark: EndMark;
  /** Whether its body is a stream of events. Default `false`. */
  isStream?: boolean;
  /** Id of the last event that was received, or after which the stream was to go on. */
  lastEventId?: string | undefined;
  /** Body of a response that is no stream. */
  body?: Uint8Array | undefined;
}

const STATUS_LINE_START = 'HTTP/';
const LEADING_LINE_BREAKS = /^[\r\n]+/;
/** Size of a chunk, with an optional extension. A last chunk has the size 0. */
const CHUNK_SIZE_LINE = /^([0-9a-f]{1,8})(?:;[^\r\n]*)?\r\n/i;
const ID_LINE = /^id: ?([^\r\n]*)\r?\n/m;

/**
 * Classifies the first bytes behind the marked end of a response. They are its rest if they are an event of the stream
 * that comes after the last one received, or a chunk behind the last chunk that does not repeat the start of the body.
 * Nothing tells the rest of a plain body from other bytes if its length is too short.
 * @example
 * classifyAfterEnd(Buffer.from('5\r\nhello\r\n'), { endMark: 'chunks' }); // 'rest'
 * classifyAfterEnd(Buffer.from('hello'), { endMark: 'length' }); // 'other'
 */
export function classifyAfterEnd(
  bytes: Buffer,
  { body, endMark, isStream = false, lastEventId }: IEndedResponse,
): AfterEnd {
  if (bytes.length === 0) return 'none';
  const text = bytes.toString('latin1').replace(LEADING_LINE_BREAKS, '');
  if (text === '') return 'other';
  if (text.startsWith(STATUS_LINE_START) || STATUS_LINE_START.startsWith(text)) return 'response';
  const id = isStream ? ID_LINE.exec(text)?.[1] : undefined;
  if (id !== undefined) return isLaterEvent(id, lastEventId) ? 'rest' : 'other';
  if (endMark !== 'chunks') return 'other';
  const data = readLeadingChunk(text);
  return data === '' || isBodyStart(data, body) ? 'other' : 'rest';
}

/** Tells whether an event follows another one, by their ids. Ids that are no numbers only show a repeat. */
function isLaterEvent(id: string, lastEventId: string | undefined): boolean {
  if (lastEventId === undefined) return true;
  const [number, lastNumber] = [Number(id), Number(lastEventId)];
  const areNumbers = Number.isFinite(number) && Number.isFinite(lastNumber);
  return areNumbers ? number > lastNumber : id !== lastEventId;
}

/** Reads the data of the whole chunk at the start of a text; empty if there is none. Noise may look like a chunk size. */
function readLeadingChunk(text: string): string {
  const [line = '', digits = ''] = CHUNK_SIZE_LINE.exec(text) ?? [];
  const end = line.length + parseInt(digits || '0', 16);
  return text.startsWith('\r\n', end) ? text.slice(line.length, end) : '';
}

function isBodyStart(data: string, body: Uint8Array | undefined): boolean {
  return body !== undefined && Buffer.from(body.subarray(0, data.length)).toString('latin1') === data;
}
