import type { ISoakOptions } from './Soak.js';

/** A soak that found a fault of the product, and the cause of the fault. */
export interface IRegression {
  options: Omit<ISoakOptions, 'folder'>;
  cause: string;
}

/** All soaks that have failed because of a fault of the product. */
export const REGRESSIONS: readonly IRegression[] = [
  {
    options: { seed: 1, profile: 'mixed' },
    cause:
      'A resumed stream switched to another model; SIGHUP ended a process that had just begun to listen.',
  },
  {
    options: { seed: 15, profile: 'planned' },
    cause:
      'During a stop, a call reused the connection of an older stream; the connection was closed while it ran.',
  },
  {
    options: { seed: 27, profile: 'planned' },
    cause: 'A second SIGTERM ended a router process while it was draining.',
  },
];
