import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAttemptEntry } from '../blackboard/Types.js';
import type { FactSizes, IFactEntry, IRolloutDecision, ISymptomCounts } from '../fleet/Types.js';
import { Disposable } from '../Lifecycle.js';
import { isAnnouncedUnmarked } from '../request/AnnouncedEnds.js';
import { findPlainEndForm } from '../request/PlainEnds.js';
import { findStreamEndForm } from '../request/StreamTraits.js';
import type { IClock, Millis } from '../Types.js';
import { findPath } from './AttemptPath.js';
import type { TimelineFields } from './Types.js';

/** Options of the decision recorder. */
export interface IDecisionRecorderOptions {
  board: Blackboard;
  clock: IClock;
  record: (kind: string, fields: TimelineFields) => void;
}

/** Largest number of changes between cold and warm that are recorded in a time. */
const MAX_COLDNESS_EVENTS = 60;
const COLDNESS_WINDOW_MS = 1000;

/** Time between two lines on the refusals of one account and class, and the most such lines of all in that time. */
const DEMAND_LINE_MS: Millis = 5000;
const MAX_DEMAND_LINES = 20;

/**
 * Records the decisions of a router on the timeline, with the state that they were based on: choices of
 * endpoints, failed attempts and checks of silent ones, rejected drafts, changes of the connection to the
 * store, facts that could not be decoded, the configuration in force, stages of rollouts, and evacuations of zones.
 */
export class DecisionRecorder extends Disposable {
  constructor(private readonly _options: IDecisionRecorderOptions) {
    super();
    this._recordAttempts();
    this._recordFleetChanges();
    this._recordPromptBlocks();
    this._recordRateLimits();
    this._recordPauses();
    this._recordColdness();
    this._recordPaths();
    this._recordEvacuations();
    this._recordDemand();
  }

  private _recordEvacuations(): void {
    const { board, clock, record } = this._options;
    this._register(
      board.evacuatedZones.onChange(({ key: zone, before, after }) => {
        if (after && before) return;
        const endpoints = [...board.endpoints.list()].filter((endpoint) => endpoint.zone === zone).length;
        if (after) {
          const { era, revision } = after;
          record('zone.evacuated', { zone, revision, era, endpoints });
        } else {
          const { era, revision } = board.storeConnection.get('store') ?? {};
          const forMs = before && Math.round(clock.now() - before.since);
          record('zone.restored', { zone, revision, era, endpoints, forMs });
        }
      }),
    );
  }

  private _recordPaths(): void {
    const { board, record } = this._options;
    this._register(
      board.endpointPaths.onChange(({ before, after }) => {
        if (!after || (after.kind === before?.kind && after.relay === before.relay)) return;
        const { address, kind, relay } = after;
        record('endpoint.path', { address, path: kind, relay });
      }),
    );
  }

  /** Records refusals for want of capacity: a line for a few accounts and classes, and not for each request. */
  private _recordDemand(): void {
    const { board, clock, record } = this._options;
    const recorded = new Map<string, { at: Millis; refusedTotal: number }>();
    this._register(
      board.accountDemand.onChange(({ key, before, after }) => {
        if (!after) recorded.delete(key);
        if (!after || after.refusedTotal <= (before?.refusedTotal ?? 0)) return;
        const now = clock.now();
        const last = recorded.get(key) ?? { at: -Infinity, refusedTotal: 0 };
        if (now - last.at < DEMAND_LINE_MS) return;
        const recentLines = [...recorded.values()].filter(({ at }) => now - at < DEMAND_LINE_MS).length;
        if (recentLines >= MAX_DEMAND_LINES) return;
        const { account, admittedMs, kind, refusedMs, refusedTotal, service } = after;
        recorded.set(key, { at: now, refusedTotal });
        record('demand.refused', {
          service,
          account,
          class: kind,
          refused: refusedTotal - last.refusedTotal,
          admittedShare: Math.round((100 * admittedMs) / Math.max(1, admittedMs + refusedMs)) / 100,
        });
      }),
    );
  }

  private _recordRateLimits(): void {
    this._register(
      this._options.board.endpoints.onChange(({ key, before, after }) => {
        if (!after || after.attemptIntervalMs === before?.attemptIntervalMs) return;
        const { attemptIntervalMs: intervalMs, maxRequestsPerS, rateLimitSource } = after;
        this._options.record('endpoint.limited', {
          endpoint: key,
          requestsPerS: maxRequestsPerS ?? 'none',
          intervalMs: intervalMs === Infinity ? 'never' : intervalMs && Math.round(intervalMs),
          source: rateLimitSource,
        });
      }),
    );
  }

  /** Records which endpoints are cold. All of a zone may turn cold at once, so the number of events is bounded. */
  private _recordColdness(): void {
    const { board, clock, record } = this._options;
    let windowStart = -Infinity;
    let events = 0;
    this._register(
      board.endpoints.onChange(({ key, before, after }) => {
        const wasCold = before?.coldPace?.phase === 'cold';
        const isCold = after?.coldPace?.phase === 'cold';
        if (wasCold === isCold) return;
        const now = clock.now();
        if (now - windowStart >= COLDNESS_WINDOW_MS) [windowStart, events] = [now, 0];
        events += 1;
        if (events > MAX_COLDNESS_EVENTS) return;
        if (!isCold) {
          record('endpoint.warm', {
            endpoint: key,
            state: after ? (after.coldPace?.phase ?? 'warm') : 'gone',
          });
          return;
        }
        const { endsAt, intervalMs, turns } = after.coldPace ?? {};
        record('endpoint.cold', {
          endpoint: key,
          forMs: endsAt === undefined ? undefined : Math.round(endsAt - now),
          turns,
          intervalMs: intervalMs === Infinity ? 'never' : intervalMs && Math.round(intervalMs),
          hosts: board.presentHosts.size,
        });
      }),
    );
  }

  private _recordPauses(): void {
    const { board, clock, record } = this._options;
    this._register(
      board.endpoints.onChange(({ key, before, after }) => {
        if (after?.pausedUntil === undefined || after.pausedUntil === before?.pausedUntil) return;
        record('endpoint.paused', { endpoint: key, forMs: Math.round(after.pausedUntil - clock.now()) });
      }),
    );
  }

  private _recordPromptBlocks(): void {
    const { board, record } = this._options;
    this._register(
      board.promptBlocks.onChange(({ before, after }) => {
        const { crashes, parts, service, trialRequest } = after ?? before ?? { crashes: [], parts: [] };
        const fields = { service, parts: parts.join('+'), crashes: crashes.join(' ') };
        if (!before) record('prompt.blocked', fields);
        else if (!after) record('prompt.unblocked', fields);
        else if (trialRequest !== before.trialRequest)
          record('prompt.tried', { ...fields, request: trialRequest });
      }),
    );
  }

  private _recordAttempts(): void {
    this._register(
      this._options.board.attempts.onChange(({ before, after }) => {
        if (after && !before) this._recordEndpointChoice(after);
        if (after?.lastRunCheck && after.lastRunCheck !== before?.lastRunCheck) {
          const { result, silentMs } = after.lastRunCheck;
          this._options.record('attempt.checked', { ...describeAttempt(after), result, silentMs });
        }
        if (after?.phase === 'doubted' && before?.phase !== 'doubted') this._recordDoubt(after);
        if (after?.isAnswerWithheld && !before?.isAnswerWithheld) this._recordWithheldAnswer(after);
        if (after?.endHeldMs !== undefined && after.endHeldMs !== before?.endHeldMs) this._recordHold(after);
        if (after && after.error !== before?.error && after.error) {
          const { afterEnd, endMark, error } = after;
          const { kind, message, ran } = error;
          const end = endMark === undefined ? {} : { endMark, afterEnd };
          this._options.record('attempt.error', {
            ...describeAttempt(after),
            path: findPath(this._options.board, after),
            error: kind,
            ran,
            message,
            ...end,
          });
        }
      }),
    );
    this._register(
      this._options.board.requests.onChange(({ before, after }) => {
        if (!after || !before || before.escalatedFrom.length === after.escalatedFrom.length) return;
        const confidence = this._options.board.attempts.get(before.attemptIds?.at(-1) ?? '')?.confidence;
        this._options.record('answer.rejected', {
          request: after.id,
          version: before.version,
          confidence,
          next: after.version,
        });
      }),
    );
  }

  private _recordEndpointChoice(attempt: IAttemptEntry): void {
    const { board, clock, record } = this._options;
    const request = board.requests.get(attempt.request);
    const endpoint = board.endpoints.get(attempt.endpoint);
    const now = clock.now();
    record('route.chosen', {
      ...describeAttempt(attempt),
      role: attempt.role,
      path: findPath(board, attempt),
      route: request?.route,
      session: request?.session,
      leftMs: request && Math.round(request.deadlineAt - now),
      config: board.routing.get('in-force')?.version,
      rollout: board.rollouts.get(request?.service ?? '')?.stage,
      inFlight: endpoint?.inFlight,
      health: endpoint?.health,
      reportAgeMs: endpoint?.report && Math.round(now - endpoint.report.receivedAt),
      resumeAfter: request?.resumeAfter,
    });
  }

  private _recordWithheldAnswer(attempt: IAttemptEntry): void {
    const answer = attempt.error?.answer;
    this._options.record('answer.withheld', {
      ...describeAttempt(attempt),
      status: answer?.kind === 'plain' ? answer.status : undefined,
    });
  }

  private _recordHold(attempt: IAttemptEntry): void {
    this._options.record('answer.held', {
      ...describeAttempt(attempt),
      heldMs: attempt.endHeldMs,
      ...this._describeEnds(attempt),
    });
  }

  private _describeEnds(attempt: IAttemptEntry) {
    const { board } = this._options;
    const { answer, endpoint, request } = attempt;
    const { route } = board.requests.get(request) ?? {};
    return {
      streamEnds: answer?.kind === 'model' ? findStreamEndForm(board, endpoint) : undefined,
      plainEnds: answer?.kind === 'plain' ? findPlainEndForm(board, endpoint, route) : undefined,
      isAnnouncedUnmarked: isAnnouncedUnmarked(board, attempt) || undefined,
    };
  }

  private _recordDoubt(attempt: IAttemptEntry): void {
    const { board, record } = this._options;
    const { answer, doubt, endMark, tokens } = attempt;
    const { claimedEnd, resumeAfter } = board.requests.get(attempt.request) ?? {};
    record('answer.doubted', {
      ...describeAttempt(attempt),
      path: findPath(board, attempt),
      doubt,
      endMark,
      bytes: answer?.kind === 'plain' ? answer.body.length : undefined,
      tokens,
      resumeAfter,
      lastEvent: answer?.kind === 'model' ? answer.lastEventId : undefined,
      ...this._describeEnds(attempt),
      claimedBy: claimedEnd?.endpoint,
    });
  }

  /** Largest age that the changes of the store's last reply can have. */
  private _measureNewsAge(): number | undefined {
    const { board, clock } = this._options;
    const changesSince = board.storeConnection.get('store')?.changesSince;
    return changesSince === undefined ? undefined : Math.round(clock.now() - changesSince);
  }

  private _recordFleetChanges(): void {
    const { board, record } = this._options;
    this._register(
      board.storeConnection.onChange(({ before, after }) => {
        if (!after) return;
        if (before && (after.era ?? 0) > (before.era ?? 0))
          record('store.restored', { era: after.era, revision: after.revision, before: before.revision });
        if (before && before.newsHost !== after.newsHost)
          record('news.source', { host: after.newsHost ?? 'store', newsAgeMs: this._measureNewsAge() });
        if (after.readBytes && after.readBytes !== before?.readBytes)
          record('news.read', { ...describeSizes(after.readBytes), revision: after.revision });
        if (before?.state === after.state) return;
        const { losses, reason, revision, silentMs, state } = after;
        const roundedMs = silentMs === undefined ? undefined : Math.round(silentMs);
        record(`store.${state}`, { revision, losses, silentMs: roundedMs, reason });
      }),
    );
    this._register(
      board.routing.onChange(({ after }) => {
        if (!after) return;
        const { routesByHost, version } = after;
        record('config.in-force', {
          version,
          hosts: routesByHost.size,
          newsAgeMs: this._measureNewsAge(),
        });
      }),
    );
    this._register(
      board.facts.onChange(({ key, after }) => {
        if (after?.fact.kind === 'unreadable')
          record('fact.unreadable', { key, revision: after.revision, reason: after.fact.reason });
      }),
    );
    this._register(
      board.facts.onChange(({ key, before, after }) => {
        const state = describeAnnouncement(after);
        const oldState = describeAnnouncement(before);
        if (state === oldState) return;
        record('endpoint.announced', {
          key,
          state,
          revision: after?.revision,
          newsAgeMs: this._measureNewsAge(),
        });
      }),
    );
    this._register(
      board.rollouts.onChange(({ before, after }) => {
        if (!after) return;
        const { decision, order, release, service, stage } = after;
        if (before?.stage !== stage) record('rollout.stage', { service, release, stage, order });
        const { suspicion } = after;
        if (suspicion && suspicion.symptom !== before?.suspicion?.symptom)
          record('rollout.suspected', { service, release, order, ...suspicion });
        if (decision && decision !== before?.decision)
          record('rollout.decided', { service, release, order, ...describeDecision(decision) });
      }),
    );
  }
}

/** Describes the size of a reply, and the kind of fact that takes most of it. */
function describeSizes(sizes: FactSizes): TimelineFields {
  const [[largestKind, largestBytes] = ['none', 0]] = Object.entries(sizes).sort(
    ([, first], [, second]) => second - first,
  );
  const bytes = Object.values(sizes).reduce((sum, size) => sum + size, 0);
  return { bytes, largestKind, largestBytes };
}

/** State in the announcement of an endpoint; `undefined` if the fact is not one. */
function describeAnnouncement(entry: IFactEntry | undefined): string | undefined {
  if (entry?.fact.kind !== 'endpoint') return undefined;
  const { isLeaving, startedAt } = entry.fact.endpoint;
  return `${isLeaving ? 'leaving' : 'ready'} since start ${startedAt}`;
}

function describeDecision(decision: IRolloutDecision): TimelineFields {
  const { elapsedMs, hostCount, newCounts, oldCounts, stage, verdict } = decision;
  return {
    stage,
    elapsedMs: Math.round(elapsedMs),
    hosts: hostCount,
    symptom: verdict?.symptom,
    route: verdict?.route,
    bad: verdict?.bad,
    total: verdict?.total,
    allowedRate: verdict && Number(verdict.allowedRate.toFixed(3)),
    newBad: formatCounts(newCounts),
    oldBad: formatCounts(oldCounts),
  };
}

/** Formats the bad answers of all answers by symptom, such as `failure 1/20, late-start 3/20`. */
function formatCounts(counts: readonly ISymptomCounts[]): string {
  const symptoms = [...new Set(counts.map(({ symptom }) => symptom))];
  return symptoms
    .map((symptom) => {
      const entries = counts.filter((entry) => entry.symptom === symptom);
      const bad = entries.reduce((sum, entry) => sum + entry.bad, 0);
      return `${symptom} ${bad}/${entries.reduce((sum, { good }) => sum + good, bad)}`;
    })
    .join(', ');
}

function describeAttempt({ endpoint, id, request, version }: IAttemptEntry): TimelineFields {
  return { request, attempt: id, endpoint, version };
}
