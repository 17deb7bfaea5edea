import test from 'ava';
import { createTestEndpoint } from '../../testing/EntryFixtures.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import { findPlainEndForm, recordPlainEnd } from './PlainEnds.js';

/** Answers as `endpoint route mark`; endpoints whose ids begin with `n` have the release `new`. */
const HISTORIES: Readonly<Record<string, readonly string[]>> = {
  none: [],
  'one mark': ['o-1 post length'],
  'unmarked at one endpoint': ['o-1 post connection', 'o-1 post connection', 'o-1 post connection'],
  'unmarked at two endpoints': ['o-1 post connection', 'o-2 post connection', 'o-2 post connection'],
  'a mark after three without': [
    'o-1 post connection',
    'o-2 post connection',
    'o-2 post connection',
    'o-1 post chunks',
  ],
  'another route without marks': ['o-1 look connection', 'o-2 look connection', 'o-2 look connection'],
  'another route with marks': [
    'o-1 look length',
    'o-1 post connection',
    'o-2 post connection',
    'o-2 post connection',
  ],
  'another release with marks': ['n-1 post length'],
  'another release without marks': ['n-1 post connection', 'n-2 post connection', 'n-2 post connection'],
};

// Guards against MIXED: a faulty endpoint, another release or another route decides how the answers of a route end.
test('how plain answers end is learned for each release and route', (t) => {
  const found = Object.entries(HISTORIES).map(([name, answers]) => {
    const board = new Blackboard();
    for (const id of ['o-1', 'o-2', 'n-1', 'n-2'])
      board.endpoints.set(id, createTestEndpoint(id, { release: id.startsWith('n') ? 'new' : 'old' }));
    for (const text of answers) {
      const [id = '', route, mark] = text.split(' ');
      const endpoint = board.endpoints.get(id);
      const endMark = mark === 'length' || mark === 'chunks' ? mark : 'connection';
      if (endpoint) recordPlainEnd(board, { endpoint, route, endMark });
    }
    const forms = ['o-1', 'n-1'].map((id) => findPlainEndForm(board, id, 'post'));
    return [name, forms.join(', ')];
  });
  t.snapshot(Object.fromEntries(found), 'forms at the old and the new release');
});
