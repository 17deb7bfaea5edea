import test from 'ava';
import fc from 'fast-check';
import { Result } from 'true-myth';
import { hashTexts } from '../../adapters/Random.js';
import { createTestRequest, createTestService } from '../../testing/EntryFixtures.js';
import { ManualClock } from '../../testing/ManualClock.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import type { PeerHandler, SendToPeer } from '../coordination/Peers.js';
import { computeShareByDemand } from '../policy/RateShares.js';
import { AccountLimitController } from './AccountLimitController.js';
import { createLeaseHandler } from './AccountShares.js';

const SEED = Number(process.env.FAST_CHECK_SEED ?? 20261204);

/** Result of a call between hosts: `reply-lost` reaches the other host, but its reply does not come back. */
type Delivery = 'ok' | 'reply-lost' | 'unreachable';

interface IFleet {
  clock: ManualClock;
  boards: Blackboard[];
  controllers: AccountLimitController[];
  /** Sends requests to a host and returns the number that is admitted. */
  offer: (host: number, count: number) => number;
}

function createFleet(
  hostCount: number,
  limit: number,
  chooseDelivery: (from: string, to: string) => Delivery,
): IFleet {
  const clock = new ManualClock();
  const handlers = new Map<string, PeerHandler>();
  const boards: Blackboard[] = [];
  const ids = Array.from({ length: hostCount }, (_, index) => `host-${index}`);
  const controllers = ids.map((host) => {
    const board = new Blackboard();
    boards.push(board);
    board.services.set('drafts', createTestService({ north: 1 }, { requestsPerSecond: limit }));
    for (const id of ids) {
      board.hosts.set(id, { id, address: '', zone: 'a', state: 'alive', incarnation: 1, changedAt: 0 });
    }
    const handleLease = createLeaseHandler({ board, clock, computeShare: computeShareByDemand });
    handlers.set(host, handleLease);
    const sendToPeer: SendToPeer = async (to, _, params) => {
      const delivery = chooseDelivery(host, to);
      if (delivery === 'unreachable') return Result.err({ kind: 'unreachable', message: '' });
      const reply = await handlers.get(to)?.(params, host);
      return delivery === 'ok' ? Result.ok(reply) : Result.err({ kind: 'unknown-outcome', message: '' });
    };
    return new AccountLimitController({ board, clock, host, sendToPeer, handleLease, hashTexts });
  });
  const admitRequests = (host: number, count: number): number => {
    let admitted = 0;
    for (let index = 0; index < count; index += 1) {
      if (controllers[host]?.takeRateShare(createTestRequest('r'))) admitted += 1;
    }
    return admitted;
  };
  return { clock, boards, controllers, offer: admitRequests };
}

test('shares follow demand, and hosts remove the state of an account that sends no more requests', async (t) => {
  const { boards, clock, offer } = createFleet(4, 100, () => 'ok');
  const listShares = (): unknown[] =>
    boards.map(({ accounts }) => Math.round(accounts.get('drafts/north')?.leasedRate ?? 0));
  const rounds: unknown[] = [];
  for (let second = 0; second < 30; second += 1) {
    let admitted = 0;
    for (let tick = 0; tick < 10; tick += 1) {
      admitted += offer(0, second < 15 ? 30 : 1) + offer(1, 3) + offer(2, second < 15 ? 0 : 30);
      await clock.advance(100);
    }
    if (second % 5 === 4) rounds.push({ second: second + 1, admitted, shares: listShares() });
  }
  await clock.advance(30_000);
  t.snapshot({ rounds, left: boards.map(({ accounts }) => accounts.size) });
});

test('a host that cannot reach the coordinating host uses an even share of the limit once all leases have ended', async (t) => {
  const fleet = createFleet(4, 100, () => (fleet.clock.now() < 4000 ? 'ok' : 'unreachable'));
  const { clock, offer } = fleet;
  const perSecond: number[] = [];
  for (let second = 0; second < 20; second += 1) {
    let admitted = 0;
    for (let tick = 0; tick < 10; tick += 1) {
      for (const host of [0, 1, 2, 3]) admitted += offer(host, 20);
      await clock.advance(100);
    }
    perSecond.push(admitted);
  }
  t.snapshot(perSecond);
});

test('the requests admitted by all hosts together stay within the limit, whatever calls are lost', async (t) => {
  const demands = fc.array(fc.array(fc.nat(40), { minLength: 5, maxLength: 5 }), {
    minLength: 10,
    maxLength: 40,
  });
  const deliveries = fc.array(fc.constantFrom<Delivery>('ok', 'ok', 'ok', 'reply-lost', 'unreachable'), {
    minLength: 1,
    maxLength: 20,
  });
  const outageAt = fc.option(fc.nat(20_000), { nil: Infinity });
  const property = fc.asyncProperty(
    fc.integer({ min: 5, max: 200 }),
    demands,
    deliveries,
    outageAt,
    async (limit, phases, faults, isolatedAt) => {
      let calls = 0;
      const fleet = createFleet(5, limit, () =>
        fleet.clock.now() >= isolatedAt ? 'unreachable' : (faults[(calls += 1) % faults.length] ?? 'ok'),
      );
      const perTick: number[] = [];
      for (const phase of phases) {
        for (let tick = 0; tick < 10; tick += 1) {
          perTick.push(phase.reduce((sum, count, host) => sum + fleet.offer(host, count), 0));
          await fleet.clock.advance(100);
        }
      }
      for (const controller of fleet.controllers) controller.dispose();
      // In any window the hosts may admit the limit, one second of burst, one second of even shares at the
      // start, and one request per host. A leaky bucket that drains at the limit checks all windows.
      let level = 0;
      for (const admitted of perTick) {
        level = Math.max(0, level + admitted - limit / 10);
        if (level > 2 * limit + 5)
          throw new Error(`${level} requests admitted in excess of the limit of ${limit} requests/s`);
      }
    },
  );
  await t.notThrowsAsync(fc.assert(property, { seed: SEED, numRuns: 60 }));
});
