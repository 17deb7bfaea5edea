import type { Blackboard } from '../blackboard/Blackboard.js';
import type { EndpointHealth, IAttemptEntry, IRequestEntry } from '../blackboard/Types.js';
import type { IAccountDemand } from '../estimates/Types.js';
import type { FactSizes } from '../fleet/Types.js';
import { Disposable } from '../Lifecycle.js';
import type { ICallerLoadEntry } from '../memory/Types.js';
import type { IClock } from '../Types.js';
import type { IMetricsSink } from './Types.js';

/** Options of the metrics controller. */
export interface IMetricsOptions {
  board: Blackboard;
  clock: IClock;
  sink: IMetricsSink;
}

/** Health states that count as unhealthy in the metric `endpoints.unhealthy`. */
const UNHEALTHY_STATES: ReadonlySet<EndpointHealth | undefined> = new Set<EndpointHealth>([
  'suspect',
  'probing',
  'leaving',
]);

/** Records metrics from changes of the panels. */
export class MetricsController extends Disposable {
  private _unhealthyCount = 0;
  private _coldCount = 0;

  constructor(private readonly _options: IMetricsOptions) {
    super();
    const { board, sink } = _options;
    this._register(
      board.requests.onChange(({ before, after }) => {
        if (after && before?.phase !== after.phase) this._recordRequest(after);
      }),
    );
    this._register(
      board.attempts.onChange(({ before, after }) => {
        if (after && before?.phase !== after.phase) this._recordAttempt(after);
      }),
    );
    this._register(
      board.endpoints.onChange(({ before, after }) => {
        const change =
          Number(UNHEALTHY_STATES.has(after?.health)) - Number(UNHEALTHY_STATES.has(before?.health));
        if (change === 0) return;
        this._unhealthyCount += change;
        sink.gauge('endpoints.unhealthy', this._unhealthyCount);
      }),
    );
    this._register(
      board.evacuatedZones.onChange(() => {
        sink.gauge('zones.evacuated', board.evacuatedZones.size);
      }),
    );
    this._register(
      board.endpoints.onChange(({ before, after }) => {
        const change = Number(after?.coldPace?.phase === 'cold') - Number(before?.coldPace?.phase === 'cold');
        if (change === 0) return;
        this._coldCount += change;
        sink.gauge('endpoints.cold', this._coldCount);
      }),
    );
    this._register(
      board.services.onChange(({ after }) => {
        if (after) sink.gauge('config.revision', after.revision);
      }),
    );
    this._register(
      board.accountDemand.onChange(({ before, after }) => {
        if (after) this._recordDemand(before, after);
      }),
    );
    this._register(
      board.storeConnection.onChange(({ before, after }) => {
        if (after?.readBytes && after.readBytes !== before?.readBytes) this._recordReadBytes(after.readBytes);
      }),
    );
    this._register(
      board.callerLoad.onChange(({ after }) => {
        if (after) this._recordCallerLoad(after);
      }),
    );
  }

  private _recordCallerLoad({ budgetBytes, connections, heldBytes, limited }: ICallerLoadEntry): void {
    const { sink } = this._options;
    sink.gauge('memory.held_bytes', heldBytes);
    sink.gauge('memory.budget_bytes', budgetBytes);
    sink.gauge('callers.connections', connections);
    for (const [cause, count] of Object.entries(limited)) sink.count('callers.limited', { cause }, count);
  }

  private _recordDemand(before: IAccountDemand | undefined, after: IAccountDemand): void {
    const { account, kind, service } = after;
    const changes = [
      ['demand.offered_ms', after.offeredTotalMs - (before?.offeredTotalMs ?? 0)],
      ['demand.admitted_ms', after.admittedTotalMs - (before?.admittedTotalMs ?? 0)],
      ['demand.refused', after.refusedTotal - (before?.refusedTotal ?? 0)],
    ] as const;
    for (const [name, amount] of changes)
      if (amount > 0) this._options.sink.count(name, { service, account, class: kind }, amount);
  }

  /** Counts the bytes of the store's last reply. Changes of the entry without a reply keep `readBytes` as it is. */
  private _recordReadBytes(readBytes: FactSizes): void {
    for (const [kind, bytes] of Object.entries(readBytes))
      this._options.sink.count('news.read_bytes', { kind }, bytes);
  }

  private _recordRequest(request: IRequestEntry): void {
    const { clock, sink } = this._options;
    const { account, refusal, service } = request;
    if (request.phase === 'refused') {
      sink.count('requests.refused', {
        service,
        account,
        code: refusal?.code ?? '',
        ran: refusal?.ran ?? '',
      });
    }
    if (request.phase !== 'billed') return;
    const tags = { service, account, version: request.version ?? 'none' };
    sink.count('requests.answered', tags);
    sink.time('requests.total_ms', clock.now() - request.receivedAt, tags);
  }

  private _recordAttempt(attempt: IAttemptEntry): void {
    const { board, clock, sink } = this._options;
    const { error, phase, role } = attempt;
    const version = attempt.version ?? 'none';
    if (phase === 'streaming') {
      const receivedAt = board.requests.get(attempt.request)?.receivedAt ?? attempt.plannedAt;
      sink.time('requests.first_token_ms', clock.now() - receivedAt, { version });
    }
    const hasEnded = phase === 'finished' || phase === 'failed' || phase === 'cancelled';
    if (hasEnded) sink.count('attempts.ended', { version, role, outcome: error?.kind ?? phase });
  }
}
