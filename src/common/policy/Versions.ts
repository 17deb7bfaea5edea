import type { IRequestEntry, IServiceEntry } from '../blackboard/Types.js';
import type { IServiceDocument, IVersionSpec } from '../config/Types.js';
import type { IVersionView, VersionDecision } from '../request/Types.js';
import { listAllowedVersions } from './Admission.js';

/**
 * Chooses the cheapest version that the document expects to meet the quality target, or the best one
 * when none does. A session's pinned version is kept.
 */
export function chooseCheapestExpected(view: IVersionView): VersionDecision {
  const usable = listUsableVersions(view);
  if (usable.kind === 'refuse') return usable;
  const target = view.service.document.qualityTarget;
  const sufficient = usable.versions.filter((version) => version.expectedQuality >= target);
  const chosen = sufficient.length > 0 ? pickCheapest(sufficient) : pickBest(usable.versions);
  return { kind: 'use', version: chosen.name };
}

/** Baseline: always the version with the highest expected quality. */
export function chooseStrongest(view: IVersionView): VersionDecision {
  const usable = listUsableVersions(view);
  return usable.kind === 'refuse' ? usable : { kind: 'use', version: pickBest(usable.versions).name };
}

/** Baseline: always the version with the lowest price. */
export function chooseCheapest(view: IVersionView): VersionDecision {
  const usable = listUsableVersions(view);
  return usable.kind === 'refuse' ? usable : { kind: 'use', version: pickCheapest(usable.versions).name };
}

/** Versions that a request may be sent to now, at least one, or the refusal that says why there is none. */
export type UsableVersions =
  | { kind: 'use'; versions: readonly [IVersionSpec, ...IVersionSpec[]] }
  | Extract<VersionDecision, { kind: 'refuse' }>;

/** Lists the versions that document, account, stage, session and endpoints allow for a new request. */
export function listUsableVersions(view: IVersionView): UsableVersions {
  const { request, service, pinnedVersion } = view;
  if (pinnedVersion !== undefined) return findPinnedVersion(view, pinnedVersion);
  const allowed = listVersionsOf(request, service.document);
  const open = allowed.filter((version) => isOpenForNewWork(view, version));
  const [first, ...others] = open.filter((version) => view.hasEndpoint(version.name));
  if (first) return { kind: 'use', versions: [first, ...others] };
  if (open.length > 0) return refuseForCapacity(request);
  const message = 'No allowed version takes new work.';
  return { kind: 'refuse', refusal: { code: 'version_withdrawn', message, ran: request.ran } };
}

/**
 * Tells whether a version that was chosen earlier may still receive the request: the document may have
 * changed while the request was queued.
 */
export function isVersionInUse(request: IRequestEntry, service: IServiceEntry | undefined): boolean {
  if (request.target.kind === 'plain') return true;
  if (!service) return false;
  const version = listVersionsOf(request, service.document).find(({ name }) => name === request.version);
  if (!version || version.stage === 'withdrawn') return false;
  return request.session !== undefined || service.rollouts[version.name]?.verdict !== 'halted';
}

function findPinnedVersion(view: IVersionView, name: string): UsableVersions {
  const { request, service } = view;
  const version = listVersionsOf(request, service.document).find((allowed) => allowed.name === name);
  if (!version || version.stage === 'withdrawn') {
    const message = `The session's version '${name}' has been withdrawn or is not allowed.`;
    return { kind: 'refuse', refusal: { code: 'session_version_withdrawn', message, ran: request.ran } };
  }
  return view.hasEndpoint(name) ? { kind: 'use', versions: [version] } : refuseForCapacity(request);
}

/**
 * A version that is being withdrawn only serves sessions that are pinned to it. One that is rolling out
 * takes the requests of its share.
 */
function isOpenForNewWork(view: IVersionView, version: IVersionSpec): boolean {
  if (version.stage === 'stable') return true;
  if (version.stage !== 'rolling-out') return false;
  return view.hashPoint(`rollout ${version.name}`) < getRolloutShare(view.service, version);
}

/** Share of eligible requests that a version takes now, 0 to 1. A halted or unknown rollout takes none. */
export function getRolloutShare(service: IServiceEntry, version: IVersionSpec): number {
  if (version.stage !== 'rolling-out') return version.stage === 'stable' ? 1 : 0;
  const state = service.rollouts[version.name];
  if (!state || state.verdict === 'halted' || state.attempt !== version.rolloutAttempt) return 0;
  return Math.min(state.share, service.document.rolloutMaxShare);
}

/** Lists the versions that the account and the asked model allow, whatever their stage. */
export function listVersionsOf(request: IRequestEntry, document: IServiceDocument): IVersionSpec[] {
  const account = document.accounts[request.account];
  if (!account || request.target.kind !== 'model') return [];
  return listAllowedVersions(document, account, request.target.model);
}

function refuseForCapacity(request: IRequestEntry): UsableVersions {
  const message = 'No endpoint has an allowed version loaded.';
  return { kind: 'refuse', refusal: { code: 'no_capacity', message, ran: request.ran, retryAfterMs: 1000 } };
}

function pickCheapest(versions: readonly IVersionSpec[]): IVersionSpec {
  return versions.reduce((best, version) =>
    version.pricePerThousandTokens < best.pricePerThousandTokens ? version : best,
  );
}

/** Picks the version with the highest expected quality. */
export function pickBest(versions: readonly IVersionSpec[]): IVersionSpec {
  return versions.reduce((best, version) =>
    version.expectedQuality > best.expectedQuality ? version : best,
  );
}
