/** Settings in which test routers differ. */
export interface ITestSettings {
  id: string;
  ip: string;
  /** Without a port for peers, the router reads all news from the store. */
  ports: { front: number; ready: number; metrics: number; peers?: number };
  /** `ip:port` of the store. */
  store: string;
  retryShare: number;
  stopMs: number;
  /** Memory and descriptors of the process. Default: not known. */
  memoryMb?: number;
  maxFds?: number;
}

/** Formats the settings file of a router process. All other limits are those of the smallest deployments. */
export function formatTestSettings({
  id,
  ip,
  maxFds,
  memoryMb,
  ports,
  retryShare,
  stopMs,
  store,
}: ITestSettings): string {
  const lines = [
    '[host]',
    `id = ${id}`,
    'zone = a',
    `ip = ${ip}`,
    `front = ${ip}:${ports.front}`,
    `ready = ${ip}:${ports.ready}`,
    `metrics_port = ${ports.metrics}`,
    ...(ports.peers === undefined ? [] : [`peer_port = ${ports.peers}`]),
    '[store]',
    `address = ${store}`,
    '[limits]',
    `retry_share = ${retryShare}`,
    `stop_ms = ${stopMs}`,
    'session_ms = 5000',
    'exposure_share = 0.15',
    'contact_ms = 3000',
    'apply_ms = 2000',
    ...(memoryMb === undefined ? [] : [`memory_mb = ${memoryMb}`]),
    ...(maxFds === undefined ? [] : [`max_fds = ${maxFds}`]),
  ];
  return `${lines.join('\n')}\n`;
}
