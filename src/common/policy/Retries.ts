import type { IRefusal } from '../blackboard/Types.js';
import type { DecideRetry, IRetryView } from '../request/Types.js';
import type { RandomSource } from '../Types.js';

const MAX_ATTEMPTS = 3;
const BASE_DELAY_MS = 20;

/**
 * Retries a failed attempt while the budget lasts. A request that may have run is repeated only when
 * it is idempotent, and after output has reached the caller only where it can be resumed. Delays are drawn at random, so that
 * requests which failed together do not return together.
 */
export function createDecideRetry(random: RandomSource): DecideRetry {
  return (view) => {
    if (!isRetryable(view)) return { kind: 'refuse', refusal: describeFailure(view) };
    const delayMs = random() * BASE_DELAY_MS * 2 ** view.request.attemptCount;
    return { kind: 'retry', delayMs };
  };
}

function isRetryable(view: IRetryView): boolean {
  const { request, error, hasBudget } = view;
  if (error.kind === 'cancelled' || error.kind === 'rejected') return false;
  if (request.attemptCount >= (request.maxAttempts ?? MAX_ATTEMPTS) || !hasBudget) return false;
  const hasOutput = request.winner !== undefined && request.target.kind === 'model';
  const isResumable = request.isResumable ?? false;
  if (hasOutput && request.target.kind === 'model' && request.target.isStreaming && !isResumable)
    return false;
  return request.isIdempotent || request.ran === 'no';
}

function describeFailure({ request, error }: IRetryView): IRefusal {
  const message = `The endpoint failed: ${error.message}`;
  if (error.kind === 'rejected') return { code: 'invalid_request', message: error.message, ran: request.ran };
  if (request.ran === 'no') return { code: 'no_capacity', message, ran: 'no', retryAfterMs: 1000 };
  if (!request.isIdempotent) return { code: 'outcome_unknown', message, ran: request.ran };
  return { code: 'endpoint_failed', message, ran: request.ran, retryAfterMs: 1000 };
}
