import { buildEditorOptions } from '../../adapters/ConfigStore.js';
import { createHttpStore } from '../../adapters/HttpStore.js';
import { applyEdit } from '../../common/config/ConfigEditor.js';
import { startEngineServer } from '../../standins/EngineServer.js';
import { startHostListServer, type IListedMachine } from '../../standins/HostListServer.js';
import { startKeyValueServer } from '../../standins/KeyValueServer.js';
import { startPlainServer } from '../../standins/PlainServer.js';
import { DEMO_DOCUMENT } from './Documents.js';

/** Addresses of the quickstart's platform, and how to stop it. */
export interface IDemoPlatform {
  store: string;
  hostList: string;
  /** Lists an entry host, so that the others find it. */
  addHost: (id: string, address: string) => void;
  close: () => Promise<void>;
}

/** Starts every stand-in inside this process and puts the demo document in force. */
export async function startDemoPlatform(): Promise<IDemoPlatform> {
  const store = await startKeyValueServer();
  const hostList = await startHostListServer();
  const small = await startEngineServer({ versions: ['small-1'] });
  const large = await startEngineServer({ versions: ['large-1'] });
  const ledger = await startPlainServer();
  hostList.machines.push(
    describeMachine('engine-small', 'engine', small.address, ['small-1']),
    describeMachine('engine-large', 'engine', large.address, ['large-1']),
    describeMachine('ledger-1', 'plain', ledger.address, []),
  );
  await applyDemoDocument(store.address);
  const all = [store, hostList, small, large, ledger];
  return {
    store: store.address,
    hostList: hostList.address,
    addHost: (id, address) => {
      hostList.machines.push({
        ...describeMachine(id, 'engine', address, []),
        role: 'entry-host',
        service: '',
      });
    },
    close: async () => {
      await Promise.all(all.map((standIn) => standIn.close()));
    },
  };
}

async function applyDemoDocument(store: string): Promise<void> {
  const edit = {
    text: DEMO_DOCUMENT,
    author: 'quickstart',
    editedAt: new Date().toISOString(),
    baseNumber: 0,
  };
  const accepted = await applyEdit(buildEditorOptions(createHttpStore({ address: store })), edit);
  if (accepted.isErr)
    throw new Error(`The demo document was not accepted: ${JSON.stringify(accepted.error)}`);
}

function describeMachine(
  id: string,
  role: 'engine' | 'plain',
  address: string,
  versions: string[],
): IListedMachine {
  const service = role === 'plain' ? 'ledger' : 'deposits';
  return { id, role, address, zone: 'zone-a', service, versions, state: 'live' };
}
