import type * as telemetry from '@comfreydrum/telemetry';
import type { CallerListener } from './createCallerListener';

/** Adds the metrics of what callers have in progress, and of connections that were closed for it. */
export const addIntakeMetrics = (
  metrics: telemetry.Metrics,
  {
    openRequestCount,
    connectionCount,
    closedConnections,
    deferredReadCount,
  }: Pick<
    CallerListener,
    'openRequestCount' | 'connectionCount' | 'closedConnections' | 'deferredReadCount'
  >,
): void => {
  metrics.gauge(
    'comfreydrum_open_requests',
    'Requests of callers that have no complete response.',
    openRequestCount,
  );
  metrics.gauge('comfreydrum_connections', 'Open connections of callers.', connectionCount);
  metrics.sampledCounters(
    'comfreydrum_closed_connections_total',
    'Connections of callers closed because of what they sent, by reason.',
    'reason',
    closedConnections,
  );
  metrics.sampledCounters(
    'comfreydrum_deferred_reads_total',
    'How often a connection of a caller has had to wait for its turn to be read, by reason.',
    'reason',
    () => ({ 'small-pieces': deferredReadCount() }),
  );
};
