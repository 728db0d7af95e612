/** Waits for a result until a signal aborts; returns undefined if it does so first. */
export const untilAborted = async <T>(
  result: Promise<T>,
  signal: AbortSignal,
): Promise<T | undefined> => {
  let onAbort = () => {};
  const aborted = new Promise<undefined>((resolve) => {
    onAbort = () => resolve(undefined);
    signal.addEventListener('abort', onAbort, { once: true });
    if (signal.aborted) onAbort();
  });
  try {
    return await Promise.race([result, aborted]);
  } finally {
    signal.removeEventListener('abort', onAbort);
  }
};
