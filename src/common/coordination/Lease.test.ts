import test from 'ava';
import { ManualClock } from '../../testing/ManualClock.js';
import { MemoryStore, type StoreFault } from '../../testing/MemoryStore.js';
import { Lease } from './Lease.js';

function createFixture(): {
  clock: ManualClock;
  faults: StoreFault[];
  createLease: (holder: string) => Lease;
} {
  const clock = new ManualClock();
  const faults: StoreFault[] = [];
  const store = new MemoryStore({
    clock,
    chooseFault: (operation) => (operation === 'put' ? (faults.shift() ?? 'none') : 'none'),
  });
  let lastId = 0;
  const createId = (): string => `id-${(lastId += 1)}`;
  const createLease = (holder: string): Lease =>
    new Lease({ name: 'job', holder, store, clock, createId, ttlMs: 1000, marginMs: 200 });
  return { clock, faults, createLease };
}

// Guards against two holders that act at the same time: the first must stop before the second can take the
// lease.
test('a holder stops one margin before its successor can take the lease, and tokens grow', async (t) => {
  const { clock, createLease } = createFixture();
  const first = createLease('host-1');
  const second = createLease('host-2');
  const lost: number[] = [];
  first.onLost((token) => lost.push(token));
  const taken = await first.acquire();
  const refused = await second.acquire();
  await clock.advance(799);
  const beforeMargin = first.isHeld();
  await clock.advance(1);
  const afterMargin = { isHeld: first.isHeld(), lost: [...lost], second: await second.acquire() };
  await clock.advance(200);
  t.snapshot({ taken, refused, beforeMargin, afterMargin, successor: await second.acquire() });
});

// Guards against a lost reply after which a lease that was taken is given up, or one that was not renewed is
// extended.
test('after a lost reply to an acquisition or a renewal, the outcome is read back', async (t) => {
  const { clock, createLease, faults } = createFixture();
  const lease = createLease('host-1');
  faults.push('lost-reply');
  const taken = await lease.acquire();
  await clock.advance(500);
  faults.push('lost-reply');
  const renewed = await lease.renew();
  await clock.advance(500);
  faults.push('lost-request');
  const notRenewed = await lease.renew();
  await clock.advance(299);
  const heldToTheEnd = lease.isHeld();
  await clock.advance(1);
  t.snapshot({ taken, renewed, notRenewed, heldToTheEnd, after: lease.isHeld() });
});

// Guards against a process that was paused until its lease had ended and then renews it.
test('a released lease can be taken at once, and a renewal after the end of a lease is refused', async (t) => {
  const { clock, createLease } = createFixture();
  const first = createLease('host-1');
  const second = createLease('host-2');
  await first.acquire();
  await first.release();
  const successor = await second.acquire();
  await clock.advance(1100);
  t.snapshot({ successor, late: await second.renew(), former: await first.renew() });
});
