import type { FindCrashingParts, ICrashEvidence, ICrashingParts } from '../fleet/Types.js';
import type { Millis } from '../Types.js';

/**
 * Number of crashes, apart in time, at which a part is taken for their cause. Two are not enough: a request that
 * runs again at another endpoint can be in flight at two crashes by chance.
 */
const MIN_CRASHES = 3;

/** Crashes within this time of each other count as one, because the failure of one rack crashes many endpoints. */
const SAME_EVENT_MS: Millis = 250;

/** Crashes at which a part was in flight, and how many of them were apart in time. */
interface IPartCrashes {
  part: string;
  crashes: readonly ICrashEvidence[];
  separateCrashes: number;
}

/**
 * Finds the parts of prompts that explain crashes of endpoints. The part that was in flight at most of the crashes
 * comes first; the crashes that it explains do not count against any other part. Parts that were in flight at
 * exactly the same crashes cannot be told apart and form one group.
 * @example
 * const crashes = [0, 1000, 2000].map((crashedAt) => ({ id: `e-${crashedAt}`, crashedAt, prompts: [['a', 'b']] }));
 * findCrashingParts(crashes); // [{ parts: ['a', 'b'], crashes: ['e-0', 'e-1000', 'e-2000'] }]
 */
export const findCrashingParts: FindCrashingParts = (crashes) => {
  const found: ICrashingParts[] = [];
  let unexplained = [...crashes].sort((first, second) => first.crashedAt - second.crashedAt);
  for (;;) {
    const [first, ...others] = rankParts(unexplained);
    if (!first || first.separateCrashes < MIN_CRASHES) return found;
    const explained = new Set(first.crashes);
    const tied = others.filter((other) => hasSameCrashes(other, explained));
    const parts = [first, ...tied].map(({ part }) => part).sort();
    found.push({ parts, crashes: first.crashes.map(({ id }) => id) });
    unexplained = unexplained.filter((crash) => !explained.has(crash));
  }
};

/** Lists the parts, those with the most crashes first. `crashes` must be in the order of their times. */
function rankParts(crashes: readonly ICrashEvidence[]): IPartCrashes[] {
  const crashesByPart = new Map<string, ICrashEvidence[]>();
  for (const crash of crashes) {
    for (const part of new Set(crash.prompts.flat())) {
      const known = crashesByPart.get(part);
      if (known) known.push(crash);
      else crashesByPart.set(part, [crash]);
    }
  }
  const ranked = [...crashesByPart].map(([part, list]) => ({
    part,
    crashes: list,
    separateCrashes: countSeparate(list),
  }));
  return ranked.sort(
    (first, second) =>
      second.separateCrashes - first.separateCrashes ||
      second.crashes.length - first.crashes.length ||
      (first.part < second.part ? -1 : 1),
  );
}

function countSeparate(crashes: readonly ICrashEvidence[]): number {
  let count = 0;
  let lastAt = -Infinity;
  for (const { crashedAt } of crashes) {
    if (crashedAt - lastAt < SAME_EVENT_MS) continue;
    count += 1;
    lastAt = crashedAt;
  }
  return count;
}

function hasSameCrashes({ crashes }: IPartCrashes, expected: ReadonlySet<ICrashEvidence>): boolean {
  return crashes.length === expected.size && crashes.every((crash) => expected.has(crash));
}
