import test from 'ava';
import fc from 'fast-check';
import type { AttemptErrorKind, IRequestEntry } from '../common/blackboard/Types.js';
import type { Millis } from '../common/Types.js';
import {
  createTestEndpoint,
  createTestRequest,
  createTestService,
  TEST_TARGET,
} from '../testing/EntryFixtures.js';
import { createRoutingRig, type IAttemptScript, type IRoutingRig } from '../testing/RoutingRig.js';

const SEED = Number(process.env.FAST_CHECK_SEED ?? 20261204);
const NORMAL_SCRIPT: IAttemptScript = { firstTokenMs: 50, tokenMs: 10, tokens: 20 };
const SLOW_SCRIPT: IAttemptScript = { firstTokenMs: 500, tokenMs: 100, tokens: 20 };
const FOUR_ENDPOINTS = ['e-1', 'e-2', 'e-3', 'e-4'];
const STREAMING_REQUEST: Partial<IRequestEntry> = { target: { ...TEST_TARGET, isStreaming: true } };

/** Sends requests at a fixed interval and advances the clock by the interval after each. */
async function sendEvenly(
  rig: IRoutingRig,
  count: number,
  intervalMs: Millis,
  patch: (index: number) => Partial<IRequestEntry> = () => ({}),
): Promise<void> {
  const prefix = `${Math.round(rig.clock.now())}-`;
  for (let index = 0; index < count; index += 1) {
    const id = `${prefix}${index}`;
    rig.board.requests.set(id, createTestRequest(id, { receivedAt: rig.clock.now(), ...patch(index) }));
    await rig.clock.advance(intervalMs);
  }
}

function countBy<T>(items: Iterable<T>, getName: (item: T) => string): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const item of items) counts[getName(item)] = (counts[getName(item)] ?? 0) + 1;
  return Object.fromEntries(Object.entries(counts).sort(([first], [second]) => (first < second ? -1 : 1)));
}

function countPhases({ board }: IRoutingRig): Record<string, number> {
  return countBy(board.requests.list(), ({ phase, refusal }) => `${phase} ${refusal?.code ?? ''}`.trim());
}

function countInFlight({ board }: IRoutingRig): unknown[] {
  return [...board.endpoints.list()].map(({ id, inFlight, inFlightTokens, longInFlight, probeAttempt }) => ({
    id,
    inFlight,
    inFlightTokens,
    longInFlight,
    probe: probeAttempt,
  }));
}

test('an endpoint that becomes 10 times slower is suspect within 3 s and recovers through probes', async (t) => {
  let isSlow = false;
  const rig = createRoutingRig(FOUR_ENDPOINTS, ({ endpoint }) =>
    isSlow && endpoint.id === 'e-2' ? SLOW_SCRIPT : NORMAL_SCRIPT,
  );
  await sendEvenly(rig, 200, 20);
  isSlow = true;
  const slowedAt = rig.clock.now();
  const changes: string[] = [];
  rig.board.endpoints.onChange(({ before, after }) => {
    if (after && before?.health !== after.health)
      changes.push(`${Math.round(rig.clock.now() - slowedAt)} ms: ${after.id} ${after.health}`);
  });
  await sendEvenly(rig, 250, 20);
  isSlow = false;
  await sendEvenly(rig, 250, 20);
  await rig.clock.advance(5000);
  t.snapshot({ changes, phases: countPhases(rig), roles: countBy(rig.plannedAttempts, ({ role }) => role) });
  t.snapshot(countInFlight(rig));
});

test('long requests leave slots of every endpoint free for short requests', async (t) => {
  const long: IAttemptScript = { ...NORMAL_SCRIPT, tokens: 1000 };
  const rig = createRoutingRig(['e-1', 'e-2'], ({ request }) =>
    request.kind === 'long' ? long : NORMAL_SCRIPT,
  );
  rig.board.services.set('drafts', createTestService());
  await sendEvenly(rig, 60, 50);
  const target = { ...TEST_TARGET, maxTokens: 1000 };
  await sendEvenly(rig, 12, 0, () => ({ kind: 'long', target, deadlineAt: 100_000 }));
  const longShares: number[] = [];
  rig.board.endpoints.onChange(({ after }) => {
    if (after) longShares.push((after.longInFlight ?? 0) / (after.inFlightLimit ?? 4));
  });
  const plannedBefore = rig.plannedAttempts.length;
  await sendEvenly(rig, 60, 50);
  const queueDelaysMs = rig.plannedAttempts
    .slice(plannedBefore)
    .map(({ plannedAt, request }) => plannedAt - (rig.board.requests.get(request)?.receivedAt ?? 0));
  await rig.clock.advance(90_000);
  t.true(Math.max(...longShares) <= 0.5, 'long requests took more than half of the slots');
  t.snapshot({
    shortStartedAtOnce: queueDelaysMs.filter((wait) => wait === 0).length,
    phases: countPhases(rig),
  });
});

test('a request that runs longer than its account history predicts is counted as long from then on', async (t) => {
  const rig = createRoutingRig(['e-1'], ({ request }) => ({
    ...NORMAL_SCRIPT,
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

test('a burst of 5 times the load is refused early, and no request refused with ran "no" was attempted', async (t) => {
  const rig = createRoutingRig(FOUR_ENDPOINTS, ({ endpoint }) => ({
    ...NORMAL_SCRIPT,
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

test('retries and hedges stay within their shared budget when every attempt fails', async (t) => {
  const error = { kind: 'crashed' as AttemptErrorKind, ran: 'unknown' as const, message: 'Closed.' };
  const rig = createRoutingRig(FOUR_ENDPOINTS, () => ({ ...NORMAL_SCRIPT, tokens: 0, error }));
  await sendEvenly(rig, 400, 10);
  await rig.clock.advance(20_000);
  const extraAttempts = rig.plannedAttempts.filter(({ role }) => role !== 'primary');
  t.true(extraAttempts.length <= 10 + 0.05 * 400, `${extraAttempts.length} extra attempts`);
  t.snapshot({ roles: countBy(rig.plannedAttempts, ({ role }) => role), phases: countPhases(rig) });
});

test('a hedged request delivers the output of one attempt only, and the late answer of the other leaves nothing in flight', async (t) => {
  const slowPrimary: IAttemptScript = { firstTokenMs: 400, tokenMs: 10, tokens: 3, ignoresCancel: true };
  const rig = createRoutingRig(['e-1', 'e-2'], ({ attempt, request }) =>
    request.id === 'hedged' && attempt.role === 'primary' ? slowPrimary : { ...NORMAL_SCRIPT, tokens: 3 },
  );
  await sendEvenly(rig, 40, 100, () => STREAMING_REQUEST);
  rig.deliveredChunks.length = 0;
  rig.plannedAttempts.length = 0;
  rig.board.requests.set(
    'hedged',
    createTestRequest('hedged', { receivedAt: rig.clock.now(), ...STREAMING_REQUEST }),
  );
  await rig.clock.advance(300);
  const duringHedge = rig.board.requests.get('hedged');
  await rig.clock.advance(2000);
  t.snapshot({
    planned: rig.plannedAttempts.map(({ id, role }) => `${id} ${role}`),
    delivered: rig.deliveredChunks,
    early: duringHedge && { phase: duringHedge.phase, winner: duringHedge.winningAttempt },
    late: countPhases(rig),
    attempts: rig.plannedAttempts.map(({ id }) => rig.board.attempts.get(id)?.phase),
    inFlight: countInFlight(rig),
  });
});

test('accounts share the endpoint by weight, and backlogs of large accounts do not delay a small one', async (t) => {
  const rig = createRoutingRig(['e-1'], ({ endpoint }) => ({
    ...NORMAL_SCRIPT,
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
  rig.plannedAttempts.length = 0;
  await rig.clock.advance(2000);
  t.snapshot(countBy(rig.plannedAttempts, ({ request }) => request.split('-')[0] ?? ''));
});

test('without capacity, a request for auto uses another version and a request for a fixed version is refused at once', async (t) => {
  const rig = createRoutingRig(
    ['e-1', createTestEndpoint('e-2', { versions: ['large-1'] })],
    () => NORMAL_SCRIPT,
  );
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

test('the in-flight limit of a plain service grows with its answers, and only idempotent calls are hedged', async (t) => {
  const ledgers = ['l-1', 'l-2', 'l-3'].map((id) =>
    createTestEndpoint(id, { kind: 'plain', service: 'ledger', versions: [] }),
  );
  const rig = createRoutingRig(ledgers, ({ attempt, request }) => ({
    firstTokenMs: request.kind === 'slow' && attempt.role === 'primary' ? 5000 : 40,
    tokenMs: 0,
    tokens: 0,
  }));
  const target = { kind: 'plain' as const, plainService: 'ledger', method: 'GET', path: '/' };
  const plainCall = { target: { ...target, contentType: undefined, body: undefined }, version: undefined };
  await sendEvenly(rig, 300, 2, () => plainCall);
  const limits = [...rig.board.endpoints.list()].map(({ inFlightLimit = 4 }) => inFlightLimit > 4);
  rig.plannedAttempts.length = 0;
  await sendEvenly(rig, 2, 1000, (index) => ({ ...plainCall, kind: 'slow', isIdempotent: index === 0 }));
  await rig.clock.advance(10_000);
  t.snapshot({ limits, roles: rig.plannedAttempts.map(({ role }) => role), phases: countPhases(rig) });
});

const STEP_ARBITRARY = fc.oneof(
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
const SCRIPT_ARBITRARY = fc.record({
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

test('property: in-flight counts return to zero, and no attempt is planned at an endpoint that is leaving or lacks the version', async (t) => {
  const property = fc.asyncProperty(
    fc.array(STEP_ARBITRARY, { maxLength: 60 }),
    fc.array(SCRIPT_ARBITRARY, { minLength: 1 }),
    async (steps, scripts) => {
      let scriptIndex = 0;
      const rig = createRoutingRig(FOUR_ENDPOINTS, () => {
        const { errorKind, ...script } = scripts[(scriptIndex += 1) % scripts.length]!;
        return errorKind ? { ...script, error: { kind: errorKind, ran: 'unknown', message: '' } } : script;
      });
      const misplacedAttempts: unknown[] = [];
      rig.board.attempts.onChange(({ before, after }) => {
        const endpoint = after && rig.board.endpoints.get(after.endpoint);
        if (before || !after) return;
        const isAllowed = endpoint?.versions.includes(after.version ?? '') && endpoint.health !== 'leaving';
        if (!isAllowed) misplacedAttempts.push({ after, endpoint });
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
      const busyEndpoints = [...rig.board.endpoints.list()].filter(
        ({ inFlight, inFlightTokens, longInFlight = 0, probeAttempt }) =>
          inFlight + inFlightTokens + longInFlight !== 0 || probeAttempt !== undefined,
      );
      const openRequests = [...rig.board.requests.list()].filter(
        ({ phase }) => phase === 'queued' || phase === 'running',
      );
      if (misplacedAttempts.length + busyEndpoints.length + openRequests.length > 0)
        throw new Error(JSON.stringify({ misplacedAttempts, busyEndpoints, openRequests }));
    },
  );
  await t.notThrowsAsync(fc.assert(property, { seed: SEED, numRuns: 150 }));
});
