import test from 'ava';
import { createSendOrder } from '../../adapters/EngineOrders.js';
import { createFetchVersionLoadLimit } from '../../adapters/WeightStoreClient.js';
import { createTestEndpoint } from '../../testing/EntryFixtures.js';
import { startEngineServer } from '../../standins/EngineServer.js';
import { startWeightStoreServer } from '../../standins/WeightStoreServer.js';
import { ManualClock } from '../../testing/ManualClock.js';
import { buildTestDocument, buildTestService } from '../../testing/VersionFixtures.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import { planByDemand, type IPlacementView } from '../policy/Placement.js';
import { PlacementController } from './PlacementController.js';

const STAGES = {
  'small-1': 'stable',
  'small-2': 'rolling-out',
  'large-1': 'withdrawing',
  'large-0': 'withdrawn',
} as const;

function listPlannedOrders(view: Partial<IPlacementView>): string[] {
  const service = buildTestService(buildTestDocument(STAGES));
  const common = { service, demand: new Map<string, number>(), loadBudget: 10, maxVersionsPerEngine: 2 };
  const engines = [
    { id: 'e-1', versions: ['small-1', 'large-0'] },
    { id: 'e-2', versions: ['large-1', 'small-1'] },
  ];
  const orders = planByDemand({ ...common, engines, ...view });
  return orders.map((order) => `${order.endpoint}: ${order.versions.join(' ')} (${order.loads} loads)`);
}

// Guards against unloading the last copy of a version: sessions that are pinned to it could not continue.
test('planning loads missing versions, unloads withdrawn ones and adds copies where demand is high', (t) => {
  const enginesWithAllVersions = [
    { id: 'e-1', versions: ['small-1', 'small-2'] },
    { id: 'e-2', versions: ['large-1', 'small-1'] },
    { id: 'e-3', versions: ['small-1'] },
  ];
  t.snapshot({
    missingVersion: listPlannedOrders({}),
    noLoadsLeft: listPlannedOrders({ loadBudget: 0 }),
    nothingToDo: listPlannedOrders({ engines: enginesWithAllVersions }),
    demandMoves: listPlannedOrders({ engines: enginesWithAllVersions, demand: new Map([['small-2', 90]]) }),
    demandMovesButLastCopyStays: listPlannedOrders({
      engines: enginesWithAllVersions.slice(0, 2),
      demand: new Map([['small-2', 90]]),
    }),
  });
});

// Guards against orders beyond the weight store's load limit and against orders of a host that is no longer
// the owner. Each order contains the complete list of versions, so that a repeated or late order does no harm
// at an engine that ignores tokens.
test('the owner keeps to the load limit and stops when an engine rejects its fencing token', async (t) => {
  const engine = await startEngineServer({ versions: ['small-1'], checksFencing: true });
  const store = await startWeightStoreServer(1);
  const clock = new ManualClock();
  const board = new Blackboard();
  const lease = { isHeld: true, token: 5 };
  board.services.set('deposits', buildTestService(buildTestDocument(STAGES)));
  const address = engine.address;
  const fields = { service: 'deposits', address, checksFencing: true };
  board.endpoints.set('e-1', createTestEndpoint('e-1', fields));
  const controller = new PlacementController({
    board,
    clock,
    findLease: () => ({ isHeld: () => lease.isHeld, fencingToken: () => lease.token }),
    planPlacement: planByDemand,
    sendOrder: createSendOrder({ timeoutMs: 20_000 }),
    fetchLoadLimit: createFetchVersionLoadLimit(store.address, 20_000),
    maxVersionsPerEngine: 3,
  });
  const versions: (readonly string[] | undefined)[] = [];
  const runOnce = async (): Promise<void> => {
    await controller.run();
    versions.push(board.endpoints.get('e-1')?.versions);
  };
  await runOnce();
  await runOnce();
  await clock.advance(60_000);
  lease.token = 4;
  await runOnce();
  lease.isHeld = false;
  await clock.advance(60_000);
  await runOnce();
  t.snapshot({ versions, orders: engine.records.orders });
  controller.dispose();
  await engine.close();
  await store.close();
});
