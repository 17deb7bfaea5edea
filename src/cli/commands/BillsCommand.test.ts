import test from 'ava';
import { createHttpStore } from '../../adapters/HttpStore.js';
import { createUniqueId } from '../../adapters/Random.js';
import { systemClock } from '../../adapters/SystemClock.js';
import { Blackboard } from '../../common/blackboard/Blackboard.js';
import { PartitionLog } from '../../common/coordination/PartitionLog.js';
import { startKeyValueServer } from '../../standins/KeyValueServer.js';
import { runCommand } from '../../testing/CommandRig.js';

// Accounting uses these figures. If the commands accepted too small a number of partitions, the bills of the
// other partitions would be missing without a warning.
test('bills commands list and add up bills, and refuse too small a number of partitions', async (t) => {
  const server = await startKeyValueServer();
  const store = createHttpStore({ address: server.address });
  const logs = [0, 1].map(
    (partition) =>
      new PartitionLog({
        partition,
        host: 'host-1',
        board: new Blackboard(),
        store,
        clock: systemClock,
        createId: createUniqueId,
        readWallClock: () => 0,
      }),
  );
  for (const [index, log] of logs.entries()) {
    await log.open();
    const bill = {
      request: `r-${index}`,
      service: 'deposits',
      account: 'depot,north',
      version: 'small-1',
      promptTokens: 10,
      completionTokens: 5,
      cost: 0.25,
    };
    await log.append([{ kind: 'bill', key: `r-${index}`, bill, atMs: 0, retention: 'short' }]);
  }
  const storeArgs = ['--store', server.address];
  const commands = [
    ['bills', 'export', '--partitions', '2', ...storeArgs],
    ['bills', 'export', '--partitions', '2', '--from', '1,0', ...storeArgs],
    ['bills', 'export', '--partitions', '2', '--json', ...storeArgs],
    ['bills', 'totals', '--partitions', '2', ...storeArgs],
    ['bills', 'totals', '--partitions', '2', '--json', ...storeArgs],
    ['bills', 'totals', '--partitions', '1', ...storeArgs],
  ];
  const runs = [];
  for (const args of commands) runs.push(await runCommand(args, { [server.address]: 'STORE' }));
  t.snapshot(runs);
  for (const log of logs) log.dispose();
  await server.close();
});
