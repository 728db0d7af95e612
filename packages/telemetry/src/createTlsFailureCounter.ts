import type { Metrics } from './createMetrics';

/** Creates a function that counts failed TLS handshakes of a listener by error code. */
export const createTlsFailureCounter = (
  metrics: Metrics,
  listener: string,
): ((cause: NodeJS.ErrnoException) => void) => {
  const failures = metrics.counter(
    `comfreydrum_${listener}_tls_failures_total`,
    'Connections that ended in the TLS handshake, by the code of the error.',
    ['code'],
  );
  return ({ code = 'none' }) => failures.add({ code });
};
