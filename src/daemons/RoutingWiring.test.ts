import test from 'ava';
import fc from 'fast-check';
import type { AttemptErrorKind, IRequestEntry } from '../common/blackboard/Types.js';
import type { Millis } from '../common/Types.js';
import { createTestEndpoint, createTestRequest, createTestService, TEST_TARGET } from '../testing/Entries.js';
import { createRoutingRig, type IAttemptScript, type IRoutingRig } from '../testing/RoutingRig.js';

const SEED = Number(process.env.FAST_CHECK_SEED ?? 20261204);
const NORMAL: IAttemptScript = { firstTokenMs: 50, tokenMs: 10, tokens: 20 };
const SLOW: IAttemptScript = { firstTokenMs: 500, tokenMs: 100, tokens: 20 };
const FOUR = ['e-1', 'e-2', 'e-3', 'e-4'];
const STREAMING: Partial<IRequestEntry> = { target: { ...TEST_TARGET, isStreaming: true } };

/** Sends requests at an even rate from now on and moves time over them. */
async function sendEvenly(
  rig: IRoutingRig,
  count: number,
  everyMs: Millis,
  patch: (index: number) => Partial<IRequestEntry> = () => ({}),
): Promise<void> {
  const prefix = `${Math.round(rig.clock.now())}-`;
  for (let index = 0; index < count; index += 1) {
    const id = `${prefix}${index}`;
    rig.board.requests.set(id, createTestRequest(id, { receivedAt: rig.clock.now(), ...patch(index) }));
    await rig.clock.advance(everyMs);
  }
}

function countBy<T>(items: Iterable<T>, name: (item: T) => string): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const item of items) counts[name(item)] = (counts[name(item)] ?? 0) + 1;
  return Object.fromEntries(Object.entries(counts).sort(([first], [second]) => (first < second ? -1 : 1)));
}

function countPhases({ board }: IRoutingRig): Record<string, number> {
  return countBy(board.requests.list(), ({ phase, refusal }) => `${phase} ${refusal?.code ?? ''}`.trim());
}

function countInFlight({ board }: IRoutingRig): unknown[] {
  return [...board.endpoints.list()].map(({ id, inFlight, inFlightTokens, longInFlight, probe }) => ({
    id,
    inFlight,
    inFlightTokens,
    longInFlight,
    probe,
  }));
}

test('an endpoint slowed 10 times is suspect in well under 3 s and comes back by probing', async (t) => {
  let isSlow = false;
  const rig = createRoutingRig(FOUR, ({ endpoint }) => (isSlow && endpoint.id === 'e-2' ? SLOW : NORMAL));
  await sendEvenly(rig, 200, 20);
  isSlow = true;
  const slowAt = rig.clock.now();
  const changes: string[] = [];
  rig.board.endpoints.onChange(({ before, after }) => {
    if (after && before?.health !== after.health)
      changes.push(`${Math.round(rig.clock.now() - slowAt)} ms: ${after.id} ${after.health}`);
  });
  await sendEvenly(rig, 250, 20);
  isSlow = false;
  await sendEvenly(rig, 250, 20);
  await rig.clock.advance(5000);
  t.snapshot({ changes, phases: countPhases(rig), roles: countBy(rig.planned, ({ role }) => role) });
  t.snapshot(countInFlight(rig));
});

test('a straggler mix: long work leaves slots of every endpoint to short work', async (t) => {
  const long: IAttemptScript = { ...NORMAL, tokens: 1000 };
  const rig = createRoutingRig(['e-1', 'e-2'], ({ request }) => (request.kind === 'long' ? long : NORMAL));
  rig.board.services.set('drafts', createTestService());
  await sendEvenly(rig, 60, 50);
  const target = { ...TEST_TARGET, maxTokens: 1000 };
  await sendEvenly(rig, 12, 0, () => ({ kind: 'long', target, deadlineAt: 100_000 }));
  const highest: number[] = [];
  rig.board.endpoints.onChange(({ after }) => {
    if (after) highest.push((after.longInFlight ?? 0) / (after.inFlightLimit ?? 4));
  });
  const before = rig.planned.length;
  await sendEvenly(rig, 60, 50);
  const waits = rig.planned
    .slice(before)
    .map(({ plannedAt, request }) => plannedAt - (rig.board.requests.get(request)?.receivedAt ?? 0));
  await rig.clock.advance(90_000);
  t.true(Math.max(...highest) <= 0.5, 'long work took more than its share');
  t.snapshot({ shortStartedAtOnce: waits.filter((wait) => wait === 0).length, phases: countPhases(rig) });
});

test("work that turns out long, against its account's history, counts as long from then on", async (t) => {
  const rig = createRoutingRig(['e-1'], ({ request }) => ({
    ...NORMAL,
    tokens: request.priority === 'low' ? 400 : 20,
  }));
  const target = { ...TEST_TARGET, maxTokens: 4000 };
  await sendEvenly(rig, 60, 50, () => ({ target }));
  const counts: string[] = [];
  rig.board.endpoints.onChange(({ before, after }) => {
    if (after && before?.longInFlight !== after.longInFlight) {
      counts.push(`${Math.round(rig.clock.now() / 1000)} s: ${after.longInFlight ?? 0}`);
    }
  });
  await sendEvenly(rig, 1, 10_000, () => ({ priority: 'low', target }));
  t.snapshot({ counts, phases: countPhases(rig) });
});

test('a burst of 5 times is refused early, and a refusal that says "not run" is true', async (t) => {
  const rig = createRoutingRig(FOUR, ({ endpoint }) => ({
    ...NORMAL,
    firstTokenMs: endpoint.inFlight > 4 ? 200 : 50,
  }));
  await sendEvenly(rig, 100, 20);
  await sendEvenly(rig, 600, 4, () => ({ deadlineAt: rig.clock.now() + 1000 }));
  await rig.clock.advance(10_000);
  const refused = [...rig.board.requests.list()].filter(({ phase }) => phase === 'refused');
  const notRun = refused.filter(({ refusal }) => refusal?.ran === 'no');
  t.deepEqual(
    notRun.filter(({ attemptCount, refusal }) => attemptCount > 0 || refusal?.retryAfterMs === undefined),
    [],
  );
  t.snapshot({ phases: countPhases(rig), notRun: notRun.length });
});

test('a retry storm stays within the budget that hedges share', async (t) => {
  const error = { kind: 'crashed' as AttemptErrorKind, ran: 'unknown' as const, message: 'Closed.' };
  const rig = createRoutingRig(FOUR, () => ({ ...NORMAL, tokens: 0, error }));
  await sendEvenly(rig, 400, 10);
  await rig.clock.advance(20_000);
  const extra = rig.planned.filter(({ role }) => role !== 'primary');
  t.true(extra.length <= 10 + 0.05 * 400, `${extra.length} extra attempts`);
  t.snapshot({ roles: countBy(rig.planned, ({ role }) => role), phases: countPhases(rig) });
});

test('a hedge whose loser answers late: one output, one answer, nothing left in flight', async (t) => {
  const slowFirst: IAttemptScript = { firstTokenMs: 400, tokenMs: 10, tokens: 3, ignoresCancel: true };
  const rig = createRoutingRig(['e-1', 'e-2'], ({ attempt, request }) =>
    request.id === 'hedged' && attempt.role === 'primary' ? slowFirst : { ...NORMAL, tokens: 3 },
  );
  await sendEvenly(rig, 40, 100, () => STREAMING);
  rig.delivered.length = 0;
  rig.planned.length = 0;
  rig.board.requests.set(
    'hedged',
    createTestRequest('hedged', { receivedAt: rig.clock.now(), ...STREAMING }),
  );
  await rig.clock.advance(300);
  const early = rig.board.requests.get('hedged');
  await rig.clock.advance(2000);
  t.snapshot({
    planned: rig.planned.map(({ id, role }) => `${id} ${role}`),
    delivered: rig.delivered,
    early: early && { phase: early.phase, winner: early.winner },
    late: countPhases(rig),
    attempts: rig.planned.map(({ id }) => rig.board.attempts.get(id)?.phase),
    inFlight: countInFlight(rig),
  });
});

test('unequal accounts: a flood of one does not hold up the others, and weights share the rest', async (t) => {
  const rig = createRoutingRig(['e-1'], ({ endpoint }) => ({
    ...NORMAL,
    firstTokenMs: endpoint.inFlight > 8 ? 400 : 50,
  }));
  rig.board.services.set('drafts', createTestService({ large: 3, medium: 1, small: 1 }));
  const sendAtOnce = (account: string, count: number): void => {
    for (let index = 0; index < count; index += 1) {
      const id = `${account}-${index}`;
      rig.board.requests.set(id, createTestRequest(id, { account, deadlineAt: 1e6 }));
    }
  };
  sendAtOnce('large', 1000);
  sendAtOnce('medium', 1000);
  await rig.clock.advance(500);
  sendAtOnce('small', 5);
  rig.planned.length = 0;
  await rig.clock.advance(2000);
  t.snapshot(countBy(rig.planned, ({ request }) => request.split('-')[0] ?? ''));
});

test('a pool that runs dry spills where the request is free, else it refuses at once and truly', async (t) => {
  const rig = createRoutingRig(['e-1', createTestEndpoint('e-2', { versions: ['large-1'] })], () => NORMAL);
  rig.board.services.set('drafts', createTestService());
  rig.board.endpoints.update('e-1', { health: 'leaving' });
  rig.board.requests.set('free', createTestRequest('free'));
  rig.board.requests.set('tied', createTestRequest('tied', { target: { ...TEST_TARGET, model: 'small-1' } }));
  await rig.clock.advance(10);
  t.snapshot(
    [...rig.board.requests.list()].map(({ id, phase, refusal, version }) => ({
      id,
      phase,
      refusal,
      version,
    })),
  );
});

test('a plain service: its limit grows with its answers, and only idempotent calls are hedged', async (t) => {
  const ledgers = ['l-1', 'l-2', 'l-3'].map((id) =>
    createTestEndpoint(id, { kind: 'plain', service: 'ledger', versions: [] }),
  );
  const rig = createRoutingRig(ledgers, ({ attempt, request }) => ({
    firstTokenMs: request.kind === 'slow' && attempt.role === 'primary' ? 5000 : 40,
    tokenMs: 0,
    tokens: 0,
  }));
  const target = { kind: 'plain' as const, plainService: 'ledger', method: 'GET', path: '/' };
  const call = { target: { ...target, contentType: undefined, body: undefined }, version: undefined };
  await sendEvenly(rig, 300, 2, () => call);
  const limits = [...rig.board.endpoints.list()].map(({ inFlightLimit = 4 }) => inFlightLimit > 4);
  rig.planned.length = 0;
  await sendEvenly(rig, 2, 1000, (index) => ({ ...call, kind: 'slow', isIdempotent: index === 0 }));
  await rig.clock.advance(10_000);
  t.snapshot({ limits, roles: rig.planned.map(({ role }) => role), phases: countPhases(rig) });
});

const STEP = fc.oneof(
  fc.record({ kind: fc.constant('send' as const), isStreaming: fc.boolean(), isIdempotent: fc.boolean() }),
  fc.record({ kind: fc.constant('cancel' as const), index: fc.nat(30) }),
  fc.record({ kind: fc.constant('leave' as const), endpoint: fc.nat(3) }),
  fc.record({
    kind: fc.constant('return' as const),
    endpoint: fc.nat(3),
    version: fc.constantFrom('small-1', 'large-1'),
  }),
  fc.record({ kind: fc.constant('wait' as const), ms: fc.nat(400) }),
);
const SCRIPT = fc.record({
  firstTokenMs: fc.nat(700),
  tokenMs: fc.nat(60),
  tokens: fc.nat(12),
  ignoresCancel: fc.boolean(),
  errorKind: fc.constantFrom<AttemptErrorKind | undefined>(
    undefined,
    undefined,
    'crashed',
    'overloaded',
    'leaving',
  ),
});

test('property: counts return to zero, and nothing is planned where it may not run', async (t) => {
  const property = fc.asyncProperty(
    fc.array(STEP, { maxLength: 60 }),
    fc.array(SCRIPT, { minLength: 1 }),
    async (steps, scripts) => {
      let next = 0;
      const rig = createRoutingRig(FOUR, () => {
        const { errorKind, ...script } = scripts[(next += 1) % scripts.length]!;
        return errorKind ? { ...script, error: { kind: errorKind, ran: 'unknown', message: '' } } : script;
      });
      const wrong: unknown[] = [];
      rig.board.attempts.onChange(({ before, after }) => {
        const endpoint = after && rig.board.endpoints.get(after.endpoint);
        if (before || !after) return;
        const isAllowed = endpoint?.versions.includes(after.version ?? '') && endpoint.health !== 'leaving';
        if (!isAllowed) wrong.push({ after, endpoint });
      });
      for (const [index, step] of steps.entries()) {
        if (step.kind === 'wait') await rig.clock.advance(step.ms);
        else if (step.kind === 'leave')
          rig.board.endpoints.update(`e-${step.endpoint + 1}`, { health: 'leaving' });
        else if (step.kind === 'return') {
          rig.board.endpoints.update(`e-${step.endpoint + 1}`, {
            health: 'healthy',
            versions: [step.version],
          });
        } else if (step.kind === 'cancel') rig.board.requests.delete(`r-${step.index}`);
        else {
          const { isIdempotent, isStreaming } = step;
          const target = { ...TEST_TARGET, isStreaming };
          const patch = { isIdempotent, target, receivedAt: rig.clock.now() };
          rig.board.requests.set(`r-${index}`, createTestRequest(`r-${index}`, patch));
        }
      }
      await rig.clock.advance(30_000);
      const left = [...rig.board.endpoints.list()].filter(
        ({ inFlight, inFlightTokens, longInFlight = 0, probe }) =>
          inFlight + inFlightTokens + longInFlight !== 0 || probe !== undefined,
      );
      const open = [...rig.board.requests.list()].filter(
        ({ phase }) => phase === 'queued' || phase === 'running',
      );
      if (wrong.length + left.length + open.length > 0)
        throw new Error(JSON.stringify({ wrong, left, open }));
    },
  );
  await t.notThrowsAsync(fc.assert(property, { seed: SEED, numRuns: 150 }));
});
