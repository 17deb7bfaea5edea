import type { IRefusal, IRequestEntry } from '../blackboard/Types.js';
import type { IAccountSpec, IServiceDocument, IVersionSpec } from '../config/Types.js';
import type { AdmissionDecision, IAdmissionView } from '../request/Types.js';

/** Wait that is suggested to a caller whose request is refused because of shutdown or an account limit. */
const RETRY_AFTER_MS = 1000;

/**
 * Admits a request if its account, model, limits and deadline allow it. A refused request has not been sent
 * to any endpoint, so `ran` is always 'no'.
 */
export function decideAdmission(view: IAdmissionView): AdmissionDecision {
  const refusal = findRefusal(view);
  return refusal ? { kind: 'refuse', refusal: { ...refusal, ran: 'no' } } : { kind: 'admit' };
}

/**
 * Lists the versions that the service document allows for an account and a requested model, in the order of
 * the account. Stages, rollouts and loaded endpoints are not considered.
 */
export function listAllowedVersions(
  document: IServiceDocument,
  account: IAccountSpec,
  model: string,
): IVersionSpec[] {
  return account.versions
    .map((name) => document.versions[name])
    .filter((version) => version !== undefined)
    .filter((version) => model === 'auto' || version.name === model || version.model === model);
}

function findRefusal(view: IAdmissionView): Omit<IRefusal, 'ran'> | undefined {
  const { request, service } = view;
  if (view.isDraining) {
    return { code: 'draining', message: 'The host is shutting down.', retryAfterMs: RETRY_AFTER_MS };
  }
  if (!service)
    return { code: 'unknown_service', message: `The service '${request.service}' is not configured.` };
  const account = service.document.accounts[request.account];
  if (!account) return { code: 'unknown_key', message: 'The client account is not configured.' };
  if (request.deadlineAt <= view.now)
    return { code: 'deadline_exceeded', message: 'The deadline has passed.' };
  return findTargetRefusal(request, service.document, account) ?? findLimitRefusal(view, account);
}

function findTargetRefusal(
  request: IRequestEntry,
  document: IServiceDocument,
  account: IAccountSpec,
): Omit<IRefusal, 'ran'> | undefined {
  const { target } = request;
  if (target.kind === 'plain') {
    if (account.plainServices.includes(target.plainService)) return undefined;
    return {
      code: 'model_not_allowed',
      message: `The plain service '${target.plainService}' is not allowed.`,
    };
  }
  const allowed = listAllowedVersions(document, account, target.model);
  if (allowed.length === 0) {
    return {
      code: 'model_not_allowed',
      message: `The model '${target.model}' is not allowed for this account.`,
    };
  }
  if (allowed.some((version) => version.stage !== 'withdrawn')) return undefined;
  return { code: 'version_withdrawn', message: `The model '${target.model}' has been withdrawn.` };
}

function findLimitRefusal(view: IAdmissionView, account: IAccountSpec): Omit<IRefusal, 'ran'> | undefined {
  const retryAfterMs = RETRY_AFTER_MS;
  if (view.accountInFlight > account.maxInFlight) {
    return { code: 'rate_limited', message: 'Too many requests of the account are in flight.', retryAfterMs };
  }
  if (view.hasRateShare) return undefined;
  return { code: 'rate_limited', message: "The account's requests per second are used up.", retryAfterMs };
}
