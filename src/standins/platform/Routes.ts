/** Creates a route of the operator's configuration; all routes share one host name. */
export function createTestRoute(
  name: string,
  kind: string,
  patch: Record<string, unknown>,
): Record<string, unknown> {
  return {
    name,
    host: 'a.example',
    prefix: `/${name}/`,
    kind,
    timeoutMs: 4000,
    targetLatencyMs: 500,
    priority: 1,
    maxAttempts: 1,
    ...patch,
  };
}
