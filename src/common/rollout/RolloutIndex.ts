import type { IConfigEditorOptions } from '../config/ConfigEditor.js';
import type { IConfigIndex, IRolloutState } from '../config/Types.js';
import type { StateWriteOutcome, WriteRolloutState } from './Types.js';

/** Options for writing rollout states. */
export type RolloutIndexOptions = Pick<IConfigEditorOptions, 'store' | 'codec' | 'encodeIndex'>;

/** Limits the attempts when other writers, such as operators who edit documents, change the index. */
const MAX_SWAP_ATTEMPTS = 20;

/**
 * Creates the function that writes rollout states into the configuration index by compare-and-swap. It
 * does not overwrite a state that has changed since the decision, or a state with a higher fencing token:
 * such a token shows that this writer was paused and that another owner has taken over. Only the state of
 * a later attempt replaces a halted one.
 */
export function createWriteRolloutState(options: RolloutIndexOptions): WriteRolloutState {
  return async (service, expected, next) => {
    for (let swapAttempt = 0; swapAttempt < MAX_SWAP_ATTEMPTS; swapAttempt += 1) {
      const outcome = await trySwap(options, service, expected, next);
      if (outcome !== 'again') return outcome;
    }
    return 'unavailable';
  };
}

async function trySwap(
  options: RolloutIndexOptions,
  service: string,
  expected: IRolloutState | undefined,
  next: IRolloutState,
): Promise<StateWriteOutcome | 'again'> {
  const { codec, encodeIndex, store } = options;
  const found = await store.get(codec.indexKey);
  if (found.isErr || !found.value) return 'unavailable';
  const index = codec.decodeIndex(found.value.value);
  const current = index.rollouts[service]?.[next.version];
  if (isSameState(current, next)) return 'written';
  if (!isSameState(current, expected) || !isReplaceable(current, next)) return 'stale';
  const value = encodeIndex(replaceState(index, service, next));
  const swapped = await store.put(codec.indexKey, value, { expectedVersion: found.value.version });
  // After a conflict or a lost reply, the caller tries again: the new read shows whether the swap took effect.
  if (swapped.isErr) return swapped.error.kind === 'unavailable' ? 'unavailable' : 'again';
  return 'written';
}

function isReplaceable(current: IRolloutState | undefined, next: IRolloutState): boolean {
  if (!current) return true;
  if (current.fencingToken > next.fencingToken || current.attempt > next.attempt) return false;
  return current.verdict !== 'halted' || next.attempt > current.attempt;
}

function isSameState(first: IRolloutState | undefined, second: IRolloutState | undefined): boolean {
  if (!first || !second) return first === second;
  return (
    first.verdict === second.verdict &&
    first.share === second.share &&
    first.attempt === second.attempt &&
    first.fencingToken === second.fencingToken
  );
}

function replaceState(index: IConfigIndex, service: string, state: IRolloutState): IConfigIndex {
  const states = { ...index.rollouts[service], [state.version]: state };
  return { ...index, rollouts: { ...index.rollouts, [service]: states } };
}
