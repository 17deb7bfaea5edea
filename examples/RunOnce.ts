/**
 * Uses the coordination library without the router. Two workers compete for the lease of a job that makes
 * payments. The first worker makes a payment and hands the job over. The second worker receives the same
 * payment again, finds its claim in the journal and does not repeat it. Run the example with
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
  /** Open while this worker owns the job, otherwise `undefined`. */
  journal: IJournal | undefined;
}

/** Creates a worker that competes for the job. It opens the journal when it becomes the owner. */
function createWorker(host: string, rank: number): IWorker {
  let partitionLog: PartitionLog | undefined;
  const worker: IWorker = {
    journal: undefined,
    owner: new FencedOwner({
      name: 'payments',
      holder: host,
      store,
      clock,
      createId: randomUUID,
      getOwnRank: () => rank,
      start: async (token) => {
        const sharedOptions = { host, store, clock, createId: randomUUID, readWallClock: Date.now };
        partitionLog = new PartitionLog({ ...sharedOptions, partition: 0, board: new Blackboard() });
        const opened = await partitionLog.open();
        if (opened.isOk) worker.journal = createLocalJournal({ logs: [partitionLog] });
        printLine(`${host} owns the job, fencing token ${token}`);
        return opened.isOk;
      },
      stop: async (reason) => {
        await partitionLog?.drain();
        partitionLog?.dispose();
        worker.journal = undefined;
        printLine(`${host} stopped the job, lease ${reason}`);
      },
    }),
  };
  worker.owner.run();
  return worker;
}

/** Makes a payment, unless the journal has a claim for the same payment. */
async function runPayment(journal: IJournal, payment: string): Promise<void> {
  const key = createHash('sha256').update(payment).digest('hex');
  const request = randomUUID();
  const claimed = await claimKey(journal, { key, request, atMs: Date.now() });
  if (claimed.isErr) printLine(`${payment}: not paid, claim failed: ${claimed.error.message}`);
  else if (claimed.value.kind === 'taken')
    printLine(`${payment}: already claimed, state ${claimed.value.record.claim}`);
  else {
    printLine(`${payment}: paid`);
    await finishClaim(journal, { key, request }, 'done');
  }
}

async function waitForJournal(worker: IWorker): Promise<IJournal> {
  while (!worker.journal) await new Promise((resolve) => setTimeout(resolve, 20));
  return worker.journal;
}

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

const firstWorker = createWorker('worker-1', 0);
const secondWorker = createWorker('worker-2', 1);
await runPayment(await waitForJournal(firstWorker), 'refund for the Anchor');
await runDrain(clock, [{ name: 'hand over', run: () => firstWorker.owner.drain(), timeoutMs: 2000 }]);
await runPayment(await waitForJournal(secondWorker), 'refund for the Anchor');
await runPayment(await waitForJournal(secondWorker), 'refund for the Bell');
await secondWorker.owner.drain();
