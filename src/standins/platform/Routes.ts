/** Creates a route of the operator's configuration. All test routes have the same host name. */
export function createTestRoute(
  name: string,
  kind: string,
  overrides: Record<string, unknown>,
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
    ...overrides,
  };
}
