import test from 'ava';
import { createTestRequest } from '../../testing/EntryFixtures.js';
import type { IAnswer, IAttemptEntry } from '../blackboard/Types.js';
import type { RunCheckResult, EndForm } from '../request/Types.js';
import type { Millis } from '../Types.js';
import { decideAnswerEnd } from './AnswerEnds.js';

const CHECKS: readonly (RunCheckResult | undefined)[] = [
  undefined,
  'unreachable',
  'unanswered',
  'replaced',
  'unknown',
  'running',
  'ahead',
];

const END_FORMS: readonly EndForm[] = ['unmarked', 'unknown', 'marked'];

/** Kinds of ends, each with the endpoints that spoil answers and the endpoint that has claimed the same end before. */
const ENDS = {
  unmarked: { doubt: 'unmarked', endMark: 'connection', tokens: 3 },
  marked: { doubt: 'endpoint-spoils', endMark: 'chunks', tokens: 3, spoiling: ['m-1'] },
  markedAtDeadline: {
    doubt: 'endpoint-spoils',
    endMark: 'chunks',
    tokens: 3,
    spoiling: ['m-1'],
    leftMs: 100,
  },
  empty: { doubt: 'empty', endMark: 'chunks', tokens: 0 },
  emptyUnmarked: { doubt: 'unmarked', endMark: 'connection', tokens: 0, claimedBy: 'm-2' },
  emptyConfirmed: { doubt: 'empty', endMark: 'length', tokens: 0, claimedBy: 'm-2' },
  emptyConfirmedBySpoiling: {
    doubt: 'empty',
    endMark: 'length',
    tokens: 0,
    claimedBy: 'm-2',
    spoiling: ['m-1'],
  },
  emptyClaimedBySpoiling: {
    doubt: 'empty',
    endMark: 'length',
    tokens: 0,
    claimedBy: 'm-2',
    spoiling: ['m-2'],
  },
  emptyClaimedBySame: { doubt: 'empty', endMark: 'length', tokens: 0, claimedBy: 'm-1' },
} as const;

// Guards against ends that are believed on a weaker word than before, and against whole answers that are broken off.
test('each kind of end is decided by the check of its endpoint', (t) => {
  const decisions = Object.entries(ENDS).map(([name, { doubt, endMark, tokens, ...end }]) => {
    const usage = { promptTokens: 0, completionTokens: tokens };
    const answer: IAnswer = { kind: 'model', version: '', usage, content: undefined, lastEventId: '3' };
    const attempt = { endpoint: 'm-1', answer, doubt, endMark, tokens } as unknown as IAttemptEntry;
    const claim = 'claimedBy' in end ? { claimedEnd: { endpoint: end.claimedBy, lastEventId: '3' } } : {};
    const spoiling: readonly string[] = 'spoiling' in end ? end.spoiling : [];
    const view = {
      request: createTestRequest('r-1', claim),
      attempt,
      leftMs: 'leftMs' in end ? end.leftMs : 5000,
      holdLeftMs: 1000,
      isRepeatable: true,
      hasSpoiltLately: (id: string) => spoiling.includes(id),
    };
    const byCheck = CHECKS.map((check) => {
      const byForm = END_FORMS.map((endForm) => decideAnswerEnd({ ...view, check, endForm }));
      return [check ?? 'not asked', byForm.join(', ')];
    });
    return [name, Object.fromEntries(byCheck) as unknown];
  });
  t.snapshot(Object.fromEntries(decisions), `decisions where ends are ${END_FORMS.join(', ')}`);
});

// Guards against MIXED: a plain answer that nothing marks is believed where answers carry marks, or by a dead endpoint.
test('a plain answer without a mark is complete only where its endpoints mark none', (t) => {
  const answer: IAnswer = { kind: 'plain', status: 200, contentType: undefined, body: Buffer.from('part') };
  const attempt = { endpoint: 'p-1', answer, doubt: 'unmarked', endMark: 'connection', tokens: 0 };
  const view = {
    request: createTestRequest('r-1', {}),
    attempt: attempt as unknown as IAttemptEntry,
    leftMs: 5000,
    hasSpoiltLately: () => false,
  };
  const decideAll = (holdLeftMs: Millis, isRepeatable: boolean): Record<string, string> => {
    const byCheck = CHECKS.map((check) => {
      const byForm = END_FORMS.map((endForm) =>
        decideAnswerEnd({ ...view, check, endForm, holdLeftMs, isRepeatable }),
      );
      return [check ?? 'not asked', byForm.join(', ')];
    });
    return Object.fromEntries(byCheck) as Record<string, string>;
  };
  t.snapshot(decideAll(1000, true), `decisions where ends are ${END_FORMS.join(', ')}`);
  t.snapshot(
    { 'hold left': decideAll(1000, false), 'held back': decideAll(0, false) },
    'the same for a call that is not sent again',
  );
});

// Guards against LOST where a service marks no ends, and against ORDER where it does: a stream that may not be continued.
test('the end of a stream that no other endpoint may continue is held back before it is believed', (t) => {
  const usage = { promptTokens: 0, completionTokens: 3 };
  const answer: IAnswer = { kind: 'model', version: '', usage, content: undefined, lastEventId: '3' };
  const attempt = { endpoint: 'm-1', answer, doubt: 'unmarked', endMark: 'connection', tokens: 3 };
  const view = {
    request: createTestRequest('r-1', { isIdempotent: false }),
    attempt: attempt as unknown as IAttemptEntry,
    leftMs: 5000,
    isRepeatable: false,
  };
  const decisions = ([1000, 0] as const).flatMap((holdLeftMs) =>
    [false, true].map((hasSpoilt) => {
      const byCheck = CHECKS.map((check) => {
        const byForm = END_FORMS.map((endForm) =>
          decideAnswerEnd({ ...view, check, endForm, holdLeftMs, hasSpoiltLately: () => hasSpoilt }),
        );
        return [check ?? 'not asked', byForm.join(', ')];
      });
      return [
        `hold left ${holdLeftMs} ms, spoilt lately: ${hasSpoilt}`,
        Object.fromEntries(byCheck) as unknown,
      ];
    }),
  );
  t.snapshot(Object.fromEntries(decisions), `decisions where ends are ${END_FORMS.join(', ')}`);
});
