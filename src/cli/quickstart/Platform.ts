import { buildEditorOptions } from '../../adapters/ConfigStore.js';
import { createHttpStore } from '../../adapters/HttpStore.js';
import { applyEdit } from '../../common/config/ConfigEditor.js';
import { startEngineServer } from '../../standins/EngineServer.js';
import { startHostListServer, type IListedMachine } from '../../standins/HostListServer.js';
import { startKeyValueServer } from '../../standins/KeyValueServer.js';
import { startPlainServer } from '../../standins/PlainServer.js';
import { DEMO_DOCUMENT } from './Documents.js';

/** Running stand-ins of the services that the hosts of the quickstart depend on. */
export interface IDemoPlatform {
  /** Base address of the key-value store. */
  storeAddress: string;
  /** Base address of the host list. */
  hostListAddress: string;
  /** Adds an entry host to the host list, where the other hosts find its peer address. */
  addHost: (id: string, address: string) => void;
  /** Stops all stand-ins. */
  close: () => Promise<void>;
}

/** Starts all stand-ins in this process and puts the demo document in force. */
export async function startDemoPlatform(): Promise<IDemoPlatform> {
  const store = await startKeyValueServer();
  const hostList = await startHostListServer();
  const small = await startEngineServer({ versions: ['small-1'] });
  const large = await startEngineServer({ versions: ['large-1'] });
  const ledger = await startPlainServer();
  hostList.machines.push(
    buildListedMachine('engine-small', 'engine', small.address, ['small-1']),
    buildListedMachine('engine-large', 'engine', large.address, ['large-1']),
    buildListedMachine('ledger-1', 'plain', ledger.address, []),
  );
  await applyDemoDocument(store.address);
  const standIns = [store, hostList, small, large, ledger];
  return {
    storeAddress: store.address,
    hostListAddress: hostList.address,
    addHost: (id, address) => {
      hostList.machines.push({
        ...buildListedMachine(id, 'engine', address, []),
        role: 'entry-host',
        service: '',
      });
    },
    close: async () => {
      await Promise.all(standIns.map((standIn) => standIn.close()));
    },
  };
}

async function applyDemoDocument(storeAddress: string): Promise<void> {
  const edit = {
    text: DEMO_DOCUMENT,
    author: 'quickstart',
    editedAt: new Date().toISOString(),
    baseNumber: 0,
  };
  const result = await applyEdit(buildEditorOptions(createHttpStore({ address: storeAddress })), edit);
  if (result.isErr) throw new Error(`The demo document was not accepted: ${JSON.stringify(result.error)}`);
}

function buildListedMachine(
  id: string,
  role: 'engine' | 'plain',
  address: string,
  versions: string[],
): IListedMachine {
  const service = role === 'plain' ? 'ledger' : 'deposits';
  return { id, role, address, zone: 'zone-a', service, versions, state: 'live' };
}
