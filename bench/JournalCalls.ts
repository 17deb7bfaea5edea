/**
 * Counts the calls that the journal makes to the store at several request rates. All hosts run in this
 * process and share a store in memory. `npm run -s build && node dist/bench/JournalCalls.js [SECONDS] [RATE]`
 * prints one line of JSON per rate.
 */
import { createUniqueId, hashTexts } from '../src/adapters/Random.js';
import { systemClock } from '../src/adapters/SystemClock.js';
import { Blackboard } from '../src/common/blackboard/Blackboard.js';
import { PartitionLog } from '../src/common/coordination/PartitionLog.js';
import { PartitionOwnerController } from '../src/common/coordination/PartitionOwnerController.js';
import { createRoutedJournal, type SendAppend } from '../src/common/coordination/RoutedJournal.js';
import type { IBill, IJournal, JournalEntry } from '../src/common/coordination/Types.js';
import { Result } from 'true-myth';
import { MemoryStore } from '../src/testing/MemoryStore.js';

const HOSTS = 7;
const PARTITIONS = 8;
const RATES = [10, 50, 200, 500, 1100];
/** Share of requests that the journal claims before they run; for the others it only stores the bill. */
const CLAIMED_SHARE = 0.3;
const SEND_INTERVAL_MS = 10;

interface IFleet {
  store: MemoryStore;
  journals: IJournal[];
  owners: PartitionOwnerController[];
}

async function startFleet(): Promise<IFleet> {
  const store = new MemoryStore({ clock: systemClock });
  const owners = new Map<string, PartitionOwnerController>();
  const ids = Array.from({ length: HOSTS }, (_, index) => `host-${index}`);
  const sendAppend: SendAppend = async (peer, partition, entries) => {
    const log = owners.get(peer)?.findLog(partition);
    return log ? log.append(entries) : Result.err({ kind: 'not-owner', message: 'no owner' });
  };
  const journals = ids.map((host) => {
    const board = new Blackboard();
    for (const id of ids)
      board.hosts.set(id, { id, address: '', zone: '', state: 'alive', incarnation: 0, changedAt: 0 });
    const common = { board, store, clock: systemClock, host, createId: createUniqueId };
    const createLog = (partition: number): PartitionLog =>
      new PartitionLog({ ...common, partition, readWallClock: Date.now });
    const owner = new PartitionOwnerController({
      ...common,
      partitions: PARTITIONS,
      hash: hashTexts,
      createLog,
    });
    owners.set(host, owner);
    return createRoutedJournal({
      ...common,
      partitions: PARTITIONS,
      findLog: (partition) => owner.findLog(partition),
      refreshOwner: (partition) => owner.refreshOwner(partition),
      sendAppend,
      sendLookup: () => Promise.resolve(Result.ok(undefined)),
    });
  });
  await Promise.all([...owners.values()].map((owner) => owner.run()));
  await waitFor(2000);
  return { store, journals, owners: [...owners.values()] };
}

async function sendRequest(journal: IJournal, latencies: number[]): Promise<void> {
  const request = createUniqueId();
  const key = hashTexts(request);
  const isClaimed = Math.random() < CLAIMED_SHARE;
  const bill: IBill = {
    service: 'deposits',
    account: `account-${Math.floor(Math.random() * 10)}`,
    request,
    version: 'small-1',
    promptTokens: 120,
    completionTokens: 80,
    cost: 0.4,
  };
  const entries: JournalEntry[] = [{ kind: 'bill', key, bill, atMs: Date.now(), retention: 'short' }];
  if (isClaimed) {
    await journal.append(key, [{ kind: 'claim', key, request, atMs: Date.now() }]);
    const answer = { status: 200, contentType: 'application/json', body: '{"entry":1}' };
    entries.unshift({ kind: 'outcome', key, request, outcome: 'done', answer });
  }
  const start = performance.now();
  const appended = await journal.append(key, entries);
  if (appended.isErr) throw new Error(appended.error.message);
  latencies.push(performance.now() - start);
}

async function measureRate(rate: number, seconds: number): Promise<Record<string, number>> {
  const { journals, owners, store } = await startFleet();
  const before = { ...store.counts };
  const latencies: number[] = [];
  const pending: Promise<void>[] = [];
  const start = performance.now();
  let sent = 0;
  while (performance.now() - start < seconds * 1000) {
    const dueCount = Math.floor(((performance.now() - start) / 1000) * rate);
    for (; sent < dueCount; sent += 1) {
      const journal = journals[sent % HOSTS];
      if (journal) pending.push(sendRequest(journal, latencies));
    }
    await waitFor(SEND_INTERVAL_MS);
  }
  await Promise.all(pending);
  const elapsed = (performance.now() - start) / 1000;
  const count = (operation: keyof typeof before): number => store.counts[operation] - before[operation];
  const calls = count('get') + count('put') + count('delete') + count('watch');
  const headEntries = [...store.entries].filter(([key]) => key.endsWith('/head'));
  for (const owner of owners) owner.dispose();
  latencies.sort((first, second) => first - second);
  return {
    rate,
    requests: sent,
    callsPerThousand: Math.round((calls / sent) * 1000),
    callsPerSecond: Math.round(calls / elapsed),
    putsPerSecond: Math.round(count('put') / elapsed),
    getsPerSecond: Math.round(count('get') / elapsed),
    deletesPerSecond: Math.round(count('delete') / elapsed),
    watchesPerSecond: Math.round(count('watch') / elapsed),
    largestHeadBytes: Math.max(...headEntries.map(([, { value }]) => value.length)),
    medianAppendMs: Math.round(latencies[Math.floor(latencies.length / 2)] ?? 0),
    p99AppendMs: Math.round(latencies[Math.floor(latencies.length * 0.99)] ?? 0),
  };
}

function waitFor(delay: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delay));
}

const seconds = Number(process.argv[2] ?? 20);
const rates = process.argv[3] === undefined ? RATES : [Number(process.argv[3])];
for (const rate of rates) process.stdout.write(`${JSON.stringify(await measureRate(rate, seconds))}\n`);
process.exit(0);
