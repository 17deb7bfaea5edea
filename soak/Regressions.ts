import type { ISoakOptions } from './Soak.js';

/** A run that once found a fault, with what caused it. */
export interface IRegression {
  run: Omit<ISoakOptions, 'folder'>;
  cause: string;
}

/** Every run that ever failed for a fault of the product. */
export const REGRESSIONS: readonly IRegression[] = [
  {
    run: { seed: 1, profile: 'mixed' },
    cause: 'A resumed stream changed its model; SIGHUP ended a process that had just begun to listen.',
  },
  {
    run: { seed: 15, profile: 'planned' },
    cause: 'A call followed on a stream from before a stop; its connection was ended while it ran.',
  },
  {
    run: { seed: 27, profile: 'planned' },
    cause: 'A second SIGTERM ended a process in the middle of its drain.',
  },
];
