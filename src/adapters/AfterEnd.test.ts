import test from 'ava';
import { classifyAfterEnd, type IEndedResponse } from './AfterEnd.js';

// Guards against a false end that is believed, and against a whole answer that is refuted by what follows it.
test('only later events and further chunks are the rest of an answer', (t) => {
  const plain: IEndedResponse = { endMark: 'chunks' };
  const stream: IEndedResponse = { endMark: 'chunks', isStream: true, lastEventId: '3' };
  const cases: [IEndedResponse, string][] = [
    ...['', '\r\n', 'HT', '\r\nHTTP/1.1 200 OK\r\n', 'junk'].map((text): [IEndedResponse, string] => [
      plain,
      text,
    ]),
    ...['5\r\nhello\r\n', '5;x=1\r\nhel', '5\r\nhello!\r\n', '0\r\n\r\n', '5'].map(
      (text): [IEndedResponse, string] => [plain, text],
    ),
    ...['5\r\nhello', 'id: 4\ndata: x\n\n', ': x\n\nid:10\r\n', '7\r\nid: 3\n\n', 'id: 4'].map(
      (text): [IEndedResponse, string] => [{ ...stream, endMark: 'length' }, text],
    ),
    ...['5\r\nhello', '7\r\nid: 3\n\n', '7\r\nid: 4\n\n'].map((text): [IEndedResponse, string] => [
      stream,
      text,
    ]),
    [{ ...plain, body: Buffer.from('hello you') }, '5\r\nhello\r\n'],
    [{ ...plain, body: Buffer.from('hello you') }, '5\r\nworld\r\n'],
    [{ ...stream, lastEventId: 'a' }, 'id: a\n'],
    [{ ...stream, lastEventId: 'a' }, 'id: b\n'],
    [{ endMark: 'length', isStream: true }, 'id: 1\n'],
  ];
  const lines = cases.map(([response, text]) => {
    const { body, endMark, isStream = false, lastEventId = 'none' } = response;
    const form = `${endMark} ${isStream ? `stream after ${lastEventId}` : body ? 'plain "hello you"' : 'plain'}`;
    return `${form}: ${JSON.stringify(text)} ${classifyAfterEnd(Buffer.from(text), response)}`;
  });
  t.snapshot(lines);
});
