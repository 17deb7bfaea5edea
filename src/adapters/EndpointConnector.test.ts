import { Socket } from 'node:net';
import test from 'ava';
import { Result } from 'true-myth';
import type { buildConnector } from 'undici';
import type { RelayFailure } from '../common/paths/Types.js';
import type { Millis } from '../common/Types.js';
import { ManualClock } from '../testing/ManualClock.js';
import { createEndpointConnector } from './EndpointConnector.js';

/** When a way ends, and how. */
interface IWay {
  afterMs: Millis;
  outcome: 'connected' | RelayFailure;
}

interface ICase {
  direct: IWay | undefined;
  relayDelayMs?: Millis;
  relays?: readonly IWay[];
}

const REFUSED: IWay = { afterMs: 1, outcome: 'endpoint-unreachable' };
const HUNG: IWay = { afterMs: 500, outcome: 'endpoint-unreachable' };
const RELAY_HUNG: IWay = { afterMs: 250, outcome: 'endpoint-unreachable' };
const CONNECTED: IWay = { afterMs: 2, outcome: 'connected' };
const BUSY: IWay = { afterMs: 300, outcome: 'connected' };

const CASES: Readonly<Record<string, ICase>> = {
  'a sound endpoint': { direct: CONNECTED, relays: [CONNECTED] },
  'a busy endpoint': { direct: BUSY, relays: [BUSY] },
  'a link that refuses': { direct: REFUSED, relays: [CONNECTED] },
  'a link that hangs': { direct: HUNG, relays: [CONNECTED] },
  'a link known to be lost': { direct: undefined, relayDelayMs: 0, relays: [CONNECTED] },
  'a relay that has lost its link as well': { direct: HUNG, relays: [RELAY_HUNG, CONNECTED] },
  'an endpoint that is down': { direct: REFUSED, relays: [REFUSED, REFUSED] },
  'an endpoint without power': { direct: HUNG, relays: [RELAY_HUNG, RELAY_HUNG, RELAY_HUNG] },
  'no relays': { direct: HUNG },
  'no way at all': { direct: undefined, relayDelayMs: 0, relays: [REFUSED] },
};

async function openConnection({ direct, relayDelayMs = 250, relays = [] }: ICase) {
  const clock = new ManualClock();
  const wait = (ms: Millis): Promise<void> => new Promise((resolve) => void clock.schedule(ms, resolve));
  const records: string[] = [];
  const connector = createEndpointConnector({
    clock,
    connect: (_options, callback) => {
      void wait(direct?.afterMs ?? 0).then(() => {
        if (direct?.outcome === 'connected') callback(null, new Socket());
        else callback(new Error('direct'), null);
      });
    },
    openTunnel: async (host) => {
      const way = relays[Number(host)] ?? REFUSED;
      await wait(way.afterMs);
      return way.outcome === 'connected' ? Result.ok(new Socket()) : Result.err(way.outcome);
    },
    paths: {
      planDial: () => ({
        isDirectTried: direct !== undefined,
        relayDelayMs: relays.length === 0 ? undefined : relayDelayMs,
        listRelays: () => {
          records.push('relays chosen');
          return relays.map((_, index) => ({ host: `r${index}`, address: `${index}`, announcedAt: 0 }));
        },
      }),
      recordDirect: (_address, outcome) => records.push(`direct ${outcome}`),
      recordRelay: (_address, host, outcome) => records.push(`${host} ${outcome}`),
      recordNoRelay: () => records.push('no relay'),
    },
  });
  const results: string[] = [];
  const target = { hostname: '10.0.0.9', port: '80', protocol: 'http:' } as buildConnector.Options;
  connector(target, (...[error]) => {
    results.push(`${error ? error.message : 'connected'} after ${clock.now()} ms`);
  });
  await clock.advance(2000);
  return { results, records };
}

// Guards against connections that are reported twice or never, that wait for one relay after another, and against relays
// that are asked for each connection.
test('a connection is opened by the first way that succeeds, and fails once when all have failed', async (t) => {
  const outcomes: Record<string, unknown> = {};
  for (const [name, way] of Object.entries(CASES)) {
    const outcome = await openConnection(way);
    t.is(outcome.results.length, 1, name);
    outcomes[name] = outcome;
  }
  t.snapshot(outcomes);
});
