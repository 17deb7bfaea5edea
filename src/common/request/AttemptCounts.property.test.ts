import test from 'ava';
import fc from 'fast-check';
import { createTestEndpoint, createTestRequest } from '../../testing/EntryFixtures.js';
import { createRoutingRig, type IAttemptScript, type IRoutingRig } from '../../testing/RoutingRig.js';
import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IEndpointEntry } from '../blackboard/Types.js';
import { hasEnded } from './Refusals.js';

const SEED = Number(process.env.FAST_CHECK_SEED ?? 20261204);
const ENDPOINTS = ['m-1', 'm-2'];

/** Longer than any request is kept after its deadline. */
const AT_REST_MS = 90_000;

const NEVER_MS = 1e9;
const TIMES = { tokenMs: 20, tokens: 3 };

/** What becomes of an attempt at its endpoint. */
const SCRIPTS: readonly IAttemptScript[] = [
  { ...TIMES, firstTokenMs: 50 },
  { ...TIMES, firstTokenMs: 700 },
  { ...TIMES, firstTokenMs: NEVER_MS },
  { ...TIMES, firstTokenMs: 50, tokenMs: NEVER_MS },
  { ...TIMES, firstTokenMs: 100, tokens: 0, error: { kind: 'crashed', ran: 'unknown', message: '' } },
  { ...TIMES, firstTokenMs: 100, tokens: 0, error: { kind: 'overloaded', ran: 'no', message: '' } },
];

type Step =
  | { kind: 'send'; isIdempotent: boolean; deadlineMs: number }
  | { kind: 'leave'; by: number }
  | { kind: 'advance'; by: number }
  | { kind: 'restart' | 'return' | 'remove'; endpoint: number };

const STEP: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant('send' as const),
    isIdempotent: fc.boolean(),
    deadlineMs: fc.constantFrom(100, 1000, 3000),
  }),
  fc.record({ kind: fc.constant('leave' as const), by: fc.nat(20) }),
  fc.record({ kind: fc.constant('advance' as const), by: fc.nat(1500) }),
  fc.record({
    kind: fc.constantFrom('restart' as const, 'return' as const, 'remove' as const),
    endpoint: fc.nat(ENDPOINTS.length - 1),
  }),
);

function createEndpoint(id: string, incarnation = 0): IEndpointEntry {
  return createTestEndpoint(id, { incarnation });
}

/** Compares the counts of each endpoint with its attempts that have not ended. */
function findWrongCounts(board: Blackboard): string[] {
  const wrong: string[] = [];
  for (const { id, inFlight, incarnation, inFlightTokens } of board.endpoints.list()) {
    const open = [...board.attempts.list()].filter(
      ({ endedAt, endpoint, incarnation: process }) =>
        endedAt === undefined && endpoint === id && process === incarnation,
    );
    const tokens = open.reduce((sum, { expectedTokens = 0 }) => sum + expectedTokens, 0);
    if (inFlight !== open.length || Math.abs(inFlightTokens - tokens) > 1e-6)
      wrong.push(`${id}: ${inFlight} of ${open.length}, ${inFlightTokens} of ${tokens} tokens`);
  }
  return wrong;
}

async function takeStep({ board, clock }: IRoutingRig, step: Step, number: number): Promise<void> {
  if (step.kind === 'send') {
    const now = clock.now();
    const { deadlineMs, isIdempotent } = step;
    const request = { phase: 'queued', isIdempotent, receivedAt: now, deadlineAt: now + deadlineMs } as const;
    board.requests.set(`r-${number}`, createTestRequest(`r-${number}`, request));
  } else if (step.kind === 'leave') {
    const requests = [...board.requests.list()];
    const request = requests[step.by % Math.max(1, requests.length)];
    if (request) board.requests.update(request.id, { isCallerGone: true });
  } else if (step.kind === 'advance') {
    await clock.advance(step.by);
  } else {
    const id = ENDPOINTS[step.endpoint] ?? '';
    const known = board.endpoints.get(id)?.incarnation ?? 0;
    board.endpoints.delete(id);
    if (step.kind === 'remove') return;
    const incarnation = step.kind === 'restart' ? number : known;
    board.endpoints.set(id, createEndpoint(id, incarnation));
  }
}

// Guards against endpoints that count as full, or as idle, because an attempt was counted twice, never or elsewhere.
test('the counts of an endpoint are those of its attempts, and all are zero at rest', async (t) => {
  const steps = fc.array(STEP, { minLength: 5, maxLength: 40 });
  const scripts = fc.infiniteStream(fc.constantFrom(...SCRIPTS));
  await fc.assert(
    fc.asyncProperty(steps, scripts, async (plan, script) => {
      const endpoints = ENDPOINTS.map((id) => createEndpoint(id));
      const rig = createRoutingRig(endpoints, () => script.next().value as IAttemptScript);
      const { board, clock } = rig;
      for (const [number, step] of plan.entries()) {
        await takeStep(rig, step, number + 1);
        await clock.advance(0);
        const wrong = findWrongCounts(board);
        if (wrong.length > 0) throw new Error(`after step ${number}: ${wrong.join('; ')}`);
      }
      for (const id of ENDPOINTS) if (!board.endpoints.has(id)) board.endpoints.set(id, createEndpoint(id));
      await clock.advance(AT_REST_MS);
      const open = [...board.attempts.list()].filter(({ endedAt }) => endedAt === undefined).length;
      const counts = [...board.endpoints.list()].map((entry) => [
        entry.inFlight,
        entry.inFlightTokens,
        entry.longInFlight ?? 0,
        entry.probeAttempt,
      ]);
      const waiting = [...board.requests.list()].filter(
        (request) => !hasEnded(request) && request.phase !== 'answered',
      ).length;
      const atRest = JSON.stringify({ open, counts, waiting });
      const expected = JSON.stringify({
        open: 0,
        counts: ENDPOINTS.map(() => [0, 0, 0, undefined]),
        waiting: 0,
      });
      if (atRest !== expected) throw new Error(`at rest: ${atRest}`);
      rig.routing.dispose();
    }),
    { seed: SEED, numRuns: 200, includeErrorInReport: true },
  );
  t.pass();
});
