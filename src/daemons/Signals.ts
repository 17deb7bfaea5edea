/**
 * Resolves at the first SIGTERM or SIGINT. Later SIGTERMs are ignored; a second SIGINT (Ctrl+C)
 * terminates the process at once, so that a user can interrupt a slow shutdown.
 */
export function waitForStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    const handleStop = (): void => {
      resolve();
    };
    // The handler stays installed: without it, a second SIGTERM would terminate the process during the drain.
    process.on('SIGTERM', handleStop);
    process.once('SIGINT', handleStop);
  });
}
