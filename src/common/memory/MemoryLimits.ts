import type { IHostLimits } from '../fleet/Types.js';

/** Memory of a host whose settings do not name it: the least of the deployments that were measured. */
const DEFAULT_MEMORY_BYTES = 250_000_000;

/** Resident memory of a process that holds nothing: program, heap of the controllers, and free space of the heap. */
const BASE_BYTES = 110_000_000;

/**
 * Share of the remaining memory. The rest is for the copy of a body that is made when it is complete, and for buffers that
 * are no longer held but not collected yet, of which V8 allows some 64 MB. With 0.4, a host with 210 MB that held unread
 * answers of 4 MB came to 204 MB.
 */
const BUDGET_SHARE = 0.3;

/** Room for one request within the limits: its body, the answer of the endpoint, and the copies of both. */
const MIN_BUDGET_BYTES = 25_000_000;

/** A part of what is held lies in the heap, whose size does not grow with the memory of the host. */
const MAX_BUDGET_BYTES = 64_000_000;

/** Descriptors for files, for listening sockets and for connections to the store and to other hosts. */
const RESERVED_DESCRIPTORS = 64;

/** Each request of a caller may need a connection to an endpoint, so callers get half of the others. */
const CALLER_DESCRIPTOR_SHARE = 0.5;

/** Memory of an idle connection: socket, parser and timers. */
const IDLE_CONNECTION_BYTES = 16_384;

/**
 * Computes the memory that a host may hold for callers and endpoints together.
 * @example
 * computeMemoryBudget({ memoryBytes: 210_000_000 }); // 30_000_000
 */
export function computeMemoryBudget({
  memoryBytes = DEFAULT_MEMORY_BYTES,
}: Pick<IHostLimits, 'memoryBytes'>): number {
  const share = BUDGET_SHARE * (memoryBytes - BASE_BYTES);
  return Math.min(MAX_BUDGET_BYTES, Math.max(MIN_BUDGET_BYTES, share));
}

/**
 * Computes how many connections of callers a host may have open. Infinite if its descriptors are not known.
 * @example
 * computeMaxConnections({ memoryBytes: 250_000_000, maxDescriptors: 4100 }); // 2018
 */
export function computeMaxConnections(limits: Pick<IHostLimits, 'maxDescriptors' | 'memoryBytes'>): number {
  const { maxDescriptors } = limits;
  if (maxDescriptors === undefined) return Infinity;
  const share = Math.floor(CALLER_DESCRIPTOR_SHARE * (maxDescriptors - RESERVED_DESCRIPTORS));
  return Math.max(1, Math.min(share, Math.floor(computeMemoryBudget(limits) / IDLE_CONNECTION_BYTES)));
}
