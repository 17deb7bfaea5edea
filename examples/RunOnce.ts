/**
 * The coordination library without the router: two workers compete for a job under a lease, and each
 * payment runs once although it is submitted twice and its worker is replaced. Run it with
 * `npm run build && node dist/examples/RunOnce.js`.
 */
import { createHash, randomUUID } from 'node:crypto';
import {
  Blackboard,
  claimKey,
  createLocalJournal,
  FencedOwner,
  finishClaim,
  PartitionLog,
  runDrain,
  toDisposable,
  type IClock,
  type IJournal,
} from '../src/coordination.js';
import { MemoryStore } from '../src/testing/MemoryStore.js';

const clock: IClock = {
  now: () => performance.now(),
  schedule: (delay, callback) => {
    const timer = setTimeout(callback, delay);
    return toDisposable(() => {
      clearTimeout(timer);
    });
  },
};
const store = new MemoryStore({ clock });

interface IWorker {
  owner: FencedOwner;
  /** Set while this worker owns the job. */
  journal: IJournal | undefined;
}

/** Creates a worker that opens the journal while it owns the job. */
function createWorker(host: string, rank: number): IWorker {
  let log: PartitionLog | undefined;
  const worker: IWorker = {
    journal: undefined,
    owner: new FencedOwner({
      name: 'payments',
      holder: host,
      store,
      clock,
      createId: randomUUID,
      rankSelf: () => rank,
      start: async (token) => {
        const common = { host, store, clock, createId: randomUUID, readWallClock: Date.now };
        log = new PartitionLog({ ...common, partition: 0, board: new Blackboard() });
        const opened = await log.open();
        if (opened.isOk) worker.journal = createLocalJournal({ logs: [log] });
        print(`${host} starts with token ${token}`);
        return opened.isOk;
      },
      stop: async (reason) => {
        await log?.drain();
        log?.dispose();
        worker.journal = undefined;
        print(`${host} stops: ${reason}`);
      },
    }),
  };
  worker.owner.run();
  return worker;
}

/** Pays unless the same payment was made before. */
async function runPayment(journal: IJournal, payment: string): Promise<void> {
  const key = createHash('sha256').update(payment).digest('hex');
  const request = randomUUID();
  const claimed = await claimKey(journal, { key, request, atMs: Date.now() });
  if (claimed.isErr) print(`${payment}: not run, ${claimed.error.message}`);
  else if (claimed.value.kind === 'taken') print(`${payment}: made before, ${claimed.value.record.claim}`);
  else {
    print(`${payment}: paid`);
    await finishClaim(journal, { key, request }, 'done');
  }
}

async function waitForJournal(worker: IWorker): Promise<IJournal> {
  while (!worker.journal) await new Promise((resolve) => setTimeout(resolve, 20));
  return worker.journal;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

const first = createWorker('worker-1', 0);
const second = createWorker('worker-2', 1);
await runPayment(await waitForJournal(first), 'refund for the Anchor');
await runDrain(clock, [{ name: 'hand over', run: () => first.owner.drain(), timeoutMs: 2000 }]);
await runPayment(await waitForJournal(second), 'refund for the Anchor');
await runPayment(await waitForJournal(second), 'refund for the Bell');
await second.owner.drain();
