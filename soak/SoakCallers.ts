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

/** Longest pause of a caller between two calls (think time). */
const MAX_THINK_MS: Millis = 60;

/** Pause of a caller that finds no ready router. */
const NO_ROUTER_PAUSE_MS: Millis = 100;

/** Share of the calls whose caller disconnects early, and the longest time until it does. */
const DISCONNECT_SHARE = 0.05;
const MAX_DISCONNECT_DELAY_MS: Millis = 600;

/** Range of the time that callers wait for an answer. */
const SHORTEST_DEADLINE_MS: Millis = 1800;
const LONGEST_DEADLINE_MS: Millis = 6000;

/** Number of documents that prompts share, and the share of prompts with a part that crashes runners. */
const DOCUMENT_COUNT = 6;
const CRASHING_CALL_SHARE = 0.1;

/** A caller, and the router to which it keeps its connection open for the next call. */
interface ICaller {
  agent: Agent;
  router: string | undefined;
}

/**
 * Callers that send one call after the other, each over one connection that it reuses while it stays open.
 */
export class SoakCallers {
  private readonly _callerLoops: Promise<void>[] = [];
  private _isStopping = false;

  constructor(private readonly _options: ISoakCallersOptions) {
    for (let index = 0; index < _options.count; index += 1) this._callerLoops.push(this._runCaller());
  }

  /** Stops the callers; resolves when the calls in progress have ended. */
  public async stop(): Promise<void> {
    this._isStopping = true;
    await Promise.all(this._callerLoops);
  }

  private async _runCaller(): Promise<void> {
    const caller: ICaller = { agent: createAgent(), router: undefined };
    while (!this._isStopping) {
      const router = this._chooseRouter(caller);
      if (router) await this._sendNext(caller, router);
      else await waitFor(NO_ROUTER_PAUSE_MS);
      await waitFor(this._options.random() * MAX_THINK_MS);
    }
    caller.agent.destroy();
  }

  /**
   * Returns the router of the open connection, whatever its state. Without a connection, picks a random
   * router that is ready.
   */
  private _chooseRouter(caller: ICaller): Readonly<IRouterEntry> | undefined {
    const { board, random } = this._options;
    if (caller.router !== undefined) return board.routers.get(caller.router);
    const readyRouters = [...board.routers.list()].filter(({ state }) => state === 'ready');
    const drawn = readyRouters[Math.floor(random() * readyRouters.length)];
    caller.router = drawn?.id;
    return drawn;
  }

  private async _sendNext(caller: ICaller, router: Readonly<IRouterEntry>): Promise<void> {
    const { board, random } = this._options;
    const entry = this._planCall(router);
    board.calls.set(entry.id, entry);
    const { body, deadlineMs, id, key, kind, method, path, promptParts } = entry;
    const headers: Record<string, string> = {};
    for (const name of FORGED_HEADERS) headers[name] = FORGED_VALUE;
    const { disconnect, result } = sendCall({
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
        ...(kind === 'streaming'
          ? { model: '*', 'token-usage': '100,100', 'prompt-prefix': promptParts }
          : {}),
      },
    });
    const disconnectsEarly = random() < DISCONNECT_SHARE;
    const disconnectTimer = setTimeout(
      () => {
        board.calls.update(id, { disconnectedAt: board.now() });
        disconnect();
      },
      disconnectsEarly ? random() * MAX_DISCONNECT_DELAY_MS : deadlineMs,
    );
    const response = await result;
    clearTimeout(disconnectTimer);
    board.calls.update(id, {
      endedAt: board.now(),
      status: response.status,
      stamp: response.headers['response-stamp']?.toString(),
      answer: response.body,
      isComplete: response.isComplete,
    });
    if (response.isComplete && response.headers.connection !== 'close') return;
    caller.agent.destroy();
    caller.agent = createAgent();
    caller.router = undefined;
  }

  private _planCall({ id: router, incarnation }: Readonly<IRouterEntry>): ICallEntry {
    const { board, random } = this._options;
    const route = this._pickRoute();
    const newestConfiguration = [...board.configurations.list()].at(-1);
    const number = board.calls.size + 1;
    const id = `call-${number}`;
    const name =
      route.name === VERSION_ROUTE ? `${VERSION_ROUTE}${newestConfiguration?.version ?? 0}` : route.name;
    const hasBody = route.kind !== 'safe';
    const key = newestConfiguration?.keys[Math.floor(random() * newestConfiguration.keys.length)] ?? '';
    const { kind, maxAttempts, service, timeoutMs } = route;
    return {
      id,
      kind,
      route: name,
      service,
      path: `/${name}/${number}?q=${number}`,
      method: hasBody ? 'POST' : 'GET',
      body: hasBody ? `body of ${id}` : '',
      promptParts: route.kind === 'streaming' ? this._choosePromptParts(number) : '',
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

  /** Chooses the parts of a prompt: two that others share, sometimes one that crashes runners, and one of its own. */
  private _choosePromptParts(number: number): string {
    const { board, random } = this._options;
    const document = `document-${Math.floor(random() * DOCUMENT_COUNT)}`;
    const bad = random() < CRASHING_CALL_SHARE ? [...board.crashingParts.list()] : [];
    const ids = ['system', document, ...bad.map(({ part }) => part), `own-${number}`];
    return ids.map((id) => `${id}:20`).join();
  }

  private _pickRoute(): ISoakRoute {
    let draw = this._options.random();
    const drawn = ROUTES.find(({ share }) => (draw -= share) < 0) ?? ROUTES[0];
    if (!drawn) throw new Error('No routes are defined.');
    return drawn;
  }
}

function createAgent(): Agent {
  return new Agent({ keepAlive: true, maxSockets: 1 });
}
