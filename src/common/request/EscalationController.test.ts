import test from 'ava';
import { createTestEndpoint } from '../../testing/EntryFixtures.js';
import { ManualClock, settlePromises } from '../../testing/ManualClock.js';
import {
  buildTestDocument,
  buildTestRequest,
  buildTestService,
  createPinJournal,
} from '../../testing/VersionFixtures.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import type { IAttemptEntry } from '../blackboard/Types.js';
import type { JournalEntry } from '../coordination/Types.js';
import { decideAcceptance } from '../policy/Escalations.js';
import { BillController } from './BillController.js';
import { EscalationController } from './EscalationController.js';
import { OutcomeController } from './OutcomeController.js';

interface ICascadeResult {
  phase: string;
  version: string | undefined;
  escalatedFrom: readonly unknown[];
  steps: readonly string[] | undefined;
  drafts: string[];
  bills: unknown[];
}

interface ICascadeOptions {
  score: number | undefined;
  serviceLines?: string;
  /** Changes the panels while the draft is being scored. */
  changeDuringCheck?: (board: Blackboard) => void;
  hasLargeEndpoint?: boolean;
}

async function runCascade(options: ICascadeOptions): Promise<ICascadeResult> {
  const board = new Blackboard();
  const clock = new ManualClock();
  const drafts: string[] = [];
  const bills: JournalEntry[] = [];
  const journal = createPinJournal();
  const append: typeof journal.append = (key, entries) => {
    bills.push(...entries);
    return journal.append(key, entries);
  };
  const hashKey = (): string => '00';
  new OutcomeController({
    board,
    clock,
    decideRetry: () => ({ kind: 'retry', delayMs: 0 }),
    takeRetryBudget: () => true,
    decideAcceptance,
    claims: { journal, hashKey, holdEntries: () => Promise.resolve() },
  });
  new EscalationController({
    board,
    decideAcceptance,
    scoreDraft: async () => {
      await settlePromises();
      options.changeDuringCheck?.(board);
      return options.score;
    },
    onDraftScored: (_request, attempt, isAccepted) =>
      drafts.push(`${attempt.version ?? ''} ${String(isAccepted)}`),
  });
  new BillController({
    board,
    clock,
    journal: { ...journal, append },
    hashKey,
    encodeAnswer: () => ({ status: 200, contentType: '', body: '' }),
    readWallClock: () => 0,
    holdBill: () => Promise.resolve(),
  });
  const document = buildTestDocument({ 'small-1': 'stable', 'large-1': 'stable' }, options.serviceLines);
  board.services.set('deposits', buildTestService(document));
  if (options.hasLargeEndpoint ?? true) addEndpoint(board);
  const plan = { steps: ['small-1', 'large-1'], isExploration: false, eligibleRollouts: [] } as const;
  board.requests.set('r-1', buildTestRequest({ phase: 'running', version: 'small-1', plan }));
  finishAttempt(board, 'a-1', 'small-1');
  await clock.advance(10);
  if (board.requests.get('r-1')?.phase === 'queued') {
    board.requests.update('r-1', { phase: 'running' });
    finishAttempt(board, 'a-2', 'large-1');
    await clock.advance(10);
  }
  const request = board.requests.get('r-1');
  const { phase = 'gone', version, escalatedFrom = [] } = request ?? {};
  return { phase, version, escalatedFrom, steps: request?.plan?.steps, drafts, bills };
}

function addEndpoint(board: Blackboard): void {
  const fields = { service: 'deposits', versions: ['large-1'] };
  board.endpoints.set('e-1', createTestEndpoint('e-1', fields));
}

function finishAttempt(board: Blackboard, id: string, version: string): void {
  const times = { plannedAt: 0, firstTokenAt: 1, endedAt: 2 };
  const usage = { promptTokens: 500, completionTokens: 500 };
  const answer = { kind: 'model', version, usage, content: version } as const;
  const common = { id, request: 'r-1', endpoint: 'e-1', version, tokens: 500, error: undefined, ...times };
  const attempt: IAttemptEntry = { ...common, phase: 'sent', role: 'primary', answer: undefined };
  board.attempts.set(id, attempt);
  board.requests.update('r-1', { winningAttempt: id });
  board.attempts.update(id, { phase: 'finished', answer });
}

// Guards against billing a rejected draft where the service document does not ask for it, and against
// delivering a rejected draft while its request can be escalated.
test('drafts are delivered, escalated and billed as the service document says', async (t) => {
  t.snapshot({
    accepted: await runCascade({ score: 0.9 }),
    rejected: await runCascade({ score: 0.1 }),
    rejectedAndBilled: await runCascade({ score: 0.1, serviceLines: 'bills_drafts = yes' }),
    notScored: await runCascade({ score: undefined }),
    nothingToEscalateTo: await runCascade({ score: 0.1, hasLargeEndpoint: false }),
    refusedMeanwhile: await runCascade({
      score: 0.9,
      changeDuringCheck: (board) => {
        const refusal = { code: 'deadline_exceeded', message: '', ran: 'yes' } as const;
        board.requests.update('r-1', { phase: 'refused', refusal });
      },
    }),
    withdrawnMeanwhile: await runCascade({
      score: 0.1,
      changeDuringCheck: (board) => {
        const document = buildTestDocument({ 'small-1': 'stable', 'large-1': 'withdrawn' });
        board.services.set('deposits', buildTestService(document));
      },
    }),
  });
});
