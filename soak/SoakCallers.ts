import { Agent } from 'node:http';
import type { Millis, RandomSource } from '../src/common/Types.js';
import { waitFor } from '../src/standins/HttpTools.js';
import { sendCall } from '../src/standins/platform/CallSender.js';
import type { SoakBoard } from './SoakBoard.js';
import { findAccount } from './SoakOperator.js';
import { FORGED_HEADERS, FORGED_VALUE, ROUTES, VERSION_ROUTE, type ISoakRoute } from './Traffic.js';
import type { ICallEntry, IRouterEntry } from './Types.js';

/** Options of the callers. */
export interface ISoakCallersOptions {
  board: SoakBoard;
  count: number;
  random: RandomSource;
}

/** Longest pause of a caller between two calls. */
const THINK_MS: Millis = 60;

/** Pause of a caller that finds no router. */
const LOST_MS: Millis = 100;

/** Share of the calls whose caller leaves early, and when it leaves at the latest. */
const LEAVE_SHARE = 0.05;
const LEAVE_MS: Millis = 600;

/** Time that callers wait for an answer. */
const SHORTEST_DEADLINE_MS: Millis = 1800;
const LONGEST_DEADLINE_MS: Millis = 6000;

/** A caller's connection is kept for the next call unless it ended. */
interface ICaller {
  agent: Agent;
  router: string | undefined;
}

/** Callers that each send one call after the other, on one connection for as long as it is open. */
export class SoakCallers {
  private readonly _loops: Promise<void>[] = [];
  private _isStopping = false;

  constructor(private readonly _options: ISoakCallersOptions) {
    for (let index = 0; index < _options.count; index += 1) this._loops.push(this._run());
  }

  /** Lets the calls under way end. */
  public async stop(): Promise<void> {
    this._isStopping = true;
    await Promise.all(this._loops);
  }

  private async _run(): Promise<void> {
    const caller: ICaller = { agent: createAgent(), router: undefined };
    while (!this._isStopping) {
      const router = this._chooseRouter(caller);
      if (router) await this._sendNext(caller, router);
      else await waitFor(LOST_MS);
      await waitFor(this._options.random() * THINK_MS);
    }
    caller.agent.destroy();
  }

  /** Keeps to an open connection, whatever the router's state; otherwise draws a router that is ready. */
  private _chooseRouter(caller: ICaller): Readonly<IRouterEntry> | undefined {
    const { board, random } = this._options;
    if (caller.router !== undefined) return board.routers.get(caller.router);
    const ready = [...board.routers.list()].filter(({ state }) => state === 'ready');
    const drawn = ready[Math.floor(random() * ready.length)];
    caller.router = drawn?.id;
    return drawn;
  }

  private async _sendNext(caller: ICaller, router: Readonly<IRouterEntry>): Promise<void> {
    const { board, random } = this._options;
    const entry = this._planCall(router);
    board.calls.set(entry.id, entry);
    const { body, deadlineMs, id, key, kind, method, path } = entry;
    const headers: Record<string, string> = {};
    for (const name of FORGED_HEADERS) headers[name] = FORGED_VALUE;
    const { leave, view } = sendCall({
      address: router.address,
      path,
      method,
      body,
      agent: caller.agent,
      headers: {
        ...headers,
        host: 'a.example',
        'attempt-id': id,
        'deadline-ms': String(deadlineMs),
        authorization: `Token ${key}`,
        ...(kind === 'streaming' ? { model: '*', 'token-usage': '100,10' } : {}),
      },
    });
    const isLeaving = random() < LEAVE_SHARE;
    const timer = setTimeout(
      () => {
        board.calls.update(id, { leftAt: board.now() });
        leave();
      },
      isLeaving ? random() * LEAVE_MS : deadlineMs,
    );
    const seen = await view;
    clearTimeout(timer);
    board.calls.update(id, {
      endedAt: board.now(),
      status: seen.status,
      stamp: seen.headers['response-stamp']?.toString(),
      answer: seen.body,
      isWhole: seen.isWhole,
    });
    if (seen.isWhole && seen.headers.connection !== 'close') return;
    caller.agent.destroy();
    caller.agent = createAgent();
    caller.router = undefined;
  }

  private _planCall({ id: router, incarnation }: Readonly<IRouterEntry>): ICallEntry {
    const { board, random } = this._options;
    const route = this._pickRoute();
    const newest = [...board.configurations.list()].at(-1);
    const number = board.calls.size + 1;
    const id = `call-${number}`;
    const name = route.name === VERSION_ROUTE ? `${VERSION_ROUTE}${newest?.version ?? 0}` : route.name;
    const isUnsafe = route.kind !== 'safe';
    const key = newest?.keys[Math.floor(random() * newest.keys.length)] ?? '';
    const { kind, maxAttempts, service, timeoutMs } = route;
    return {
      id,
      kind,
      route: name,
      service,
      path: `/${name}/${number}?q=${number}`,
      method: isUnsafe ? 'POST' : 'GET',
      body: isUnsafe ? `body of ${id}` : '',
      key,
      account: findAccount(key),
      deadlineMs: Math.round(SHORTEST_DEADLINE_MS + random() * (LONGEST_DEADLINE_MS - SHORTEST_DEADLINE_MS)),
      timeoutMs,
      maxAttempts,
      router,
      incarnation,
      sentAt: board.now(),
    };
  }

  private _pickRoute(): ISoakRoute {
    let draw = this._options.random();
    const drawn = ROUTES.find(({ share }) => (draw -= share) < 0) ?? ROUTES[0];
    if (!drawn) throw new Error('There are no routes.');
    return drawn;
  }
}

function createAgent(): Agent {
  return new Agent({ keepAlive: true, maxSockets: 1 });
}
