import type { ConnectionCut } from './RawServer.js';

/** Ways in which the text of a whole reply is sent, each with what happens to the connection afterwards. */
export const REPLY_FORMS: Readonly<Record<string, (text: string) => [bytes: string, cut: ConnectionCut]>> = {
  whole: (text) => [formatReply(200, text), 'fin'],
  'cut in order': (text) => [`HTTP/1.1 200 OK\r\n\r\n${readHalf(text)}`, 'fin'],
  'cut by a reset': (text) => [`HTTP/1.1 200 OK\r\n\r\n${readHalf(text)}`, 'reset'],
  'length too short': (text) => [formatReply(200, readHalf(text)), 'fin'],
  'last chunk too early': (text) => {
    const half = readHalf(text);
    const head = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
    return [`${head}${half.length.toString(16)}\r\n${half}\r\n0\r\n\r\n`, 'fin'];
  },
  'length of 0': () => [formatReply(200, ''), 'fin'],
  'closed after its head': () => ['HTTP/1.1 200 OK\r\n\r\n', 'fin'],
  'status 500': (text) => [formatReply(500, text), 'fin'],
};

/** Formats a reply with its length. */
export function formatReply(status: number, text: string): string {
  return `HTTP/1.1 ${status} Any\r\ncontent-length: ${text.length}\r\n\r\n${text}`;
}

function readHalf(text: string): string {
  return text.slice(0, Math.floor(text.length / 2));
}
