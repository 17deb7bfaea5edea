/** Resolves when the process is asked to stop. A second SIGINT, as of an impatient user, ends it at once. */
export function waitForStop(): Promise<void> {
  return new Promise((resolve) => {
    const handleStop = (): void => {
      resolve();
    };
    // Without a handler a second SIGTERM would end the process in the middle of its drain.
    process.on('SIGTERM', handleStop);
    process.once('SIGINT', handleStop);
  });
}
