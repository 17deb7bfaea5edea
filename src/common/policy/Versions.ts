import type { IRequestEntry, IServiceEntry } from '../blackboard/Types.js';
import type { IServiceDocument, IVersionSpec } from '../config/Types.js';
import type { IVersionView, VersionDecision } from '../request/Types.js';
import { listAllowedVersions } from './Admission.js';

/**
 * Chooses the cheapest version whose expected quality in the service document meets the quality target, or
 * the version with the highest expected quality if none does. A session keeps its pinned version.
 */
export function chooseCheapestExpected(view: IVersionView): VersionDecision {
  const usable = listUsableVersions(view);
  if (usable.kind === 'refuse') return usable;
  const target = view.service.document.qualityTarget;
  const sufficient = usable.versions.filter((version) => version.expectedQuality >= target);
  const chosen = sufficient.length > 0 ? pickCheapest(sufficient) : pickHighestQuality(usable.versions);
  return { kind: 'use', version: chosen.name };
}

/** Baseline: always the version with the highest expected quality. */
export function chooseHighestQuality(view: IVersionView): VersionDecision {
  const usable = listUsableVersions(view);
  return usable.kind === 'refuse'
    ? usable
    : { kind: 'use', version: pickHighestQuality(usable.versions).name };
}

/** Baseline: always the version with the lowest price. */
export function chooseCheapest(view: IVersionView): VersionDecision {
  const usable = listUsableVersions(view);
  return usable.kind === 'refuse' ? usable : { kind: 'use', version: pickCheapest(usable.versions).name };
}

/** The versions that a request may be sent to now, at least one, or the refusal if there is none. */
export type UsableVersions =
  | { kind: 'use'; versions: readonly [IVersionSpec, ...IVersionSpec[]] }
  | Extract<VersionDecision, { kind: 'refuse' }>;

/**
 * Lists the versions that a request may use, by service document, account, stage, rollout, session and
 * endpoints.
 */
export function listUsableVersions(view: IVersionView): UsableVersions {
  const { request, service, pinnedVersion } = view;
  if (pinnedVersion !== undefined) return findPinnedVersion(view, pinnedVersion);
  const allowed = listAllowedVersionsOfRequest(request, service.document);
  const takingNewWork = allowed.filter((version) => isOpenForNewWork(view, version));
  const [first, ...others] = takingNewWork.filter((version) => view.hasEndpoint(version.name));
  if (first) return { kind: 'use', versions: [first, ...others] };
  if (takingNewWork.length > 0) return refuseWithoutEndpoint(request);
  const message = 'No allowed version takes new work.';
  return { kind: 'refuse', refusal: { code: 'version_withdrawn', message, ran: request.ran } };
}

/**
 * Tells whether the version that was chosen for a request may still receive it. The service document or the
 * state of a rollout may have changed while the request was queued.
 */
export function isChosenVersionAllowed(request: IRequestEntry, service: IServiceEntry | undefined): boolean {
  if (request.target.kind === 'plain') return true;
  if (!service) return false;
  const version = listAllowedVersionsOfRequest(request, service.document).find(
    ({ name }) => name === request.version,
  );
  if (!version || version.stage === 'withdrawn') return false;
  return request.session !== undefined || service.rollouts[version.name]?.verdict !== 'halted';
}

function findPinnedVersion(view: IVersionView, name: string): UsableVersions {
  const { request, service } = view;
  const version = listAllowedVersionsOfRequest(request, service.document).find(
    (allowed) => allowed.name === name,
  );
  if (!version || version.stage === 'withdrawn') {
    const message = `The session's version '${name}' has been withdrawn or is not allowed.`;
    return { kind: 'refuse', refusal: { code: 'session_version_withdrawn', message, ran: request.ran } };
  }
  return view.hasEndpoint(name) ? { kind: 'use', versions: [version] } : refuseWithoutEndpoint(request);
}

/**
 * Tells whether a version takes a request without a pinned version. A version that is being withdrawn only
 * serves the sessions that are pinned to it. A version that is rolling out takes its share of the requests.
 */
function isOpenForNewWork(view: IVersionView, version: IVersionSpec): boolean {
  if (version.stage === 'stable') return true;
  if (version.stage !== 'rolling-out') return false;
  return view.hashToFraction(`rollout ${version.name}`) < getRolloutShare(view.service, version);
}

/**
 * Computes the share of eligible requests that a version takes now, 0 to 1. A halted or unknown rollout takes
 * none.
 */
export function getRolloutShare(service: IServiceEntry, version: IVersionSpec): number {
  if (version.stage !== 'rolling-out') return version.stage === 'stable' ? 1 : 0;
  const state = service.rollouts[version.name];
  if (!state || state.verdict === 'halted' || state.attempt !== version.rolloutAttempt) return 0;
  return Math.min(state.share, service.document.rolloutMaxShare);
}

/** Lists the versions that a request's account and requested model allow, whatever their stage. */
export function listAllowedVersionsOfRequest(
  request: IRequestEntry,
  document: IServiceDocument,
): IVersionSpec[] {
  const account = document.accounts[request.account];
  if (!account || request.target.kind !== 'model') return [];
  return listAllowedVersions(document, account, request.target.model);
}

function refuseWithoutEndpoint(request: IRequestEntry): UsableVersions {
  const message = 'No endpoint has an allowed version loaded.';
  return { kind: 'refuse', refusal: { code: 'no_capacity', message, ran: request.ran, retryAfterMs: 1000 } };
}

function pickCheapest(versions: readonly IVersionSpec[]): IVersionSpec {
  return versions.reduce((best, version) =>
    version.pricePerThousandTokens < best.pricePerThousandTokens ? version : best,
  );
}

/** Picks the version with the highest expected quality. */
export function pickHighestQuality(versions: readonly IVersionSpec[]): IVersionSpec {
  return versions.reduce((best, version) =>
    version.expectedQuality > best.expectedQuality ? version : best,
  );
}
