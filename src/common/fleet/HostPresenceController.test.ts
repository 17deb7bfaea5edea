import test from 'ava';
import { Result } from 'true-myth';
import { createTestEndpoint } from '../../testing/EntryFixtures.js';
import { ManualClock } from '../../testing/ManualClock.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import { recordPlainEnd } from '../request/PlainEnds.js';
import type { EndMark } from '../request/Types.js';
import { HostPresenceController } from './HostPresenceController.js';
import type { IHostPresence, IUnmarkedEnds } from './Types.js';

const HOST = 'host-1';
/** Time that a write to the store takes. */
const WRITE_MS = 20;
const STREAMS: IUnmarkedEnds = { kind: 'stream', service: 'drafts' };

/** Announcements in the store before the host starts, and the marks of the answers that it then sees. */
interface IHistory {
  announced?: Readonly<Record<string, readonly IUnmarkedEnds[]>>;
  streams?: readonly boolean[];
  plainEnds?: readonly EndMark[];
}

const HISTORIES: Readonly<Record<string, IHistory>> = {
  'nothing seen': {},
  'two streams without a mark': { streams: [false, false] },
  'streams without a mark': { streams: [false, false, false] },
  'plain answers without a mark': { plainEnds: ['connection', 'connection', 'connection'] },
  'plain answers with a mark': { plainEnds: ['connection', 'connection', 'length'] },
  'streams and plain answers without a mark': {
    streams: [false, false, false],
    plainEnds: ['connection', 'connection', 'connection'],
  },
  'streams of which another host has announced it': {
    announced: { 'host-2': [STREAMS] },
    streams: [false, false, false],
  },
  'an announcement of an earlier process': { announced: { [HOST]: [STREAMS] } },
  'an announcement of an earlier process, and a mark': { announced: { [HOST]: [STREAMS] }, streams: [true] },
};

async function collectAnnouncements({
  announced = {},
  plainEnds = [],
  streams = [],
}: IHistory): Promise<string[]> {
  const board = new Blackboard();
  const clock = new ManualClock();
  const written: string[] = [];
  const setFact = (presence: IHostPresence): void => {
    const key = `hosts/${presence.host}`;
    board.facts.set(key, { key, revision: 1, fact: { kind: 'host-presence', presence }, encoded: '' });
  };
  const store = {
    writeHostPresence: async (presence: IHostPresence) => {
      written.push(JSON.stringify(presence.unmarkedEnds ?? 'none'));
      await new Promise<void>((resolve) => void clock.schedule(WRITE_MS, resolve));
      setFact(presence);
      return Result.ok<number>(1);
    },
  };
  const controller = new HostPresenceController({
    board,
    clock,
    host: HOST,
    store,
    readWallClock: clock.now,
  });
  board.storeConnection.set('store', { state: 'connected' } as never);
  for (const [host, unmarkedEnds] of Object.entries(announced))
    setFact({ host, announcedAt: 0, unmarkedEnds });
  await clock.advance(100);
  for (const id of ['m-1', 'm-2']) board.endpoints.set(id, createTestEndpoint(id));
  for (const [index, isMarked] of streams.entries()) {
    const id = index % 2 === 0 ? 'm-1' : 'm-2';
    const unmarkedStreams = (board.endpoints.get(id)?.unmarkedStreams ?? 0) + 1;
    board.endpoints.update(id, isMarked ? { marksStreamEnds: true } : { unmarkedStreams });
  }
  // Some of it is seen while an earlier announcement is being written.
  await clock.advance(0);
  for (const [index, endMark] of plainEnds.entries()) {
    const endpoint = board.endpoints.get(index % 2 === 0 ? 'm-1' : 'm-2');
    if (endpoint) recordPlainEnd(board, { endpoint, route: 'post', endMark });
  }
  await clock.advance(5000);
  controller.dispose();
  return written;
}

// Guards against whole answers that are lost after each start: what a host has seen of ends is lost with its process.
test('a host announces the answers whose ends nothing marks, and withdraws that when it sees a mark', async (t) => {
  const announcements: Record<string, string[]> = {};
  for (const [name, history] of Object.entries(HISTORIES))
    announcements[name] = await collectAnnouncements(history);
  t.snapshot(announcements);
});
