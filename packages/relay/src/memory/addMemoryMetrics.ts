import type * as telemetry from '@comfreydrum/telemetry';
import type { ByteBudget } from './createByteBudget';

/** The budgets of a daemon. */
export interface Budgets {
  readonly answers: ByteBudget;
  readonly bodies: ByteBudget;
}

/** Adds the metrics of the memory that requests in progress take. */
export const addMemoryMetrics = (
  metrics: telemetry.Metrics,
  { answers, bodies }: Budgets,
): void => {
  metrics.gauge(
    'comfreydrum_answers_held_bytes',
    'Bytes of answers of targets in memory.',
    answers.heldBytes,
  );
  metrics.gauge(
    'comfreydrum_bodies_held_bytes',
    'Bytes of request bodies in memory.',
    bodies.heldBytes,
  );
  metrics.sampledCounters(
    'comfreydrum_evictions_total',
    'Answers and request bodies given up because those in memory had too many bytes.',
    'kind',
    () => ({ answers: answers.evictedCount(), bodies: bodies.evictedCount() }),
  );
};
