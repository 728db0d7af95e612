import type * as telemetry from '@comfreydrum/telemetry';

/** The metrics of request handling. */
export interface RelayMetrics {
  readonly requests: telemetry.Counter;
  readonly outcomes: telemetry.Counter;
  readonly dispatches: telemetry.Counter;
  readonly limitedSends: telemetry.Counter;
  readonly coldSends: telemetry.Counter;
  readonly crashedRuns: telemetry.Counter;
  readonly targetSignals: telemetry.Counter;
  readonly heldBackSends: telemetry.Counter;
  readonly cutOffResponses: telemetry.Counter;
  readonly firstEventMs: telemetry.Histogram;
  readonly gapMs: telemetry.Histogram;
  readonly responseMs: telemetry.Histogram;
  /** Counts the requests that wanted to wait for a place, by how that ended. */
  readonly waits: telemetry.Counter;
  readonly waitMs: telemetry.Histogram;
  /** Records the time to a first event relative to its prediction. */
  readonly recordPrediction: (routeName: string, ratio: number) => void;
}

/** Predictions that are off by no more than this factor count as right. */
const rightFactor = 1.5;

const createPredictionMetric = (metrics: telemetry.Metrics): RelayMetrics['recordPrediction'] => {
  const predictions = metrics.counter(
    'comfreydrum_first_event_predictions_total',
    'First events by whether they came as predicted, earlier or later.',
    ['route', 'outcome'],
  );
  const ratios = metrics.histogram(
    'comfreydrum_first_event_prediction_ratio',
    'Time to a first event relative to its prediction.',
  );
  const outcomeOf = (ratio: number) => {
    if (ratio > rightFactor) return 'later';
    return ratio < 1 / rightFactor ? 'earlier' : 'as-predicted';
  };

  return (route, ratio) => {
    predictions.add({ route, outcome: outcomeOf(ratio) });
    ratios.record(ratio);
  };
};

/** Creates the metrics; label values are only names of routes, services and causes. */
export const createRelayMetrics = (metrics: telemetry.Metrics): RelayMetrics => ({
  recordPrediction: createPredictionMetric(metrics),
  waits: metrics.counter(
    'comfreydrum_waits_total',
    'Requests that could not start at once, by how their wait for a place ended.',
    ['service', 'outcome'],
  ),
  waitMs: metrics.histogram('comfreydrum_wait_ms', 'How long requests waited for a place.'),
  requests: metrics.counter('comfreydrum_requests_total', 'Requests of callers.', ['route']),
  outcomes: metrics.counter('comfreydrum_outcomes_total', 'Final answers, by their cause.', [
    'route',
    'outcome',
  ]),
  dispatches: metrics.counter('comfreydrum_dispatches_total', 'Sendings to targets.', [
    'service',
    'reason',
  ]),
  limitedSends: metrics.counter(
    'comfreydrum_limited_sends_total',
    'Requests that asked for a permit to be sent to a target with a limit, by outcome.',
    ['service', 'outcome'],
  ),
  coldSends: metrics.counter(
    'comfreydrum_cold_sends_total',
    'Requests that asked for a permit to be sent to a cold target, by outcome.',
    ['service', 'outcome'],
  ),
  targetSignals: metrics.counter(
    'comfreydrum_target_signals_total',
    'What targets have said in answers: that they leave, or that they want no requests for a while.',
    ['signal', 'source'],
  ),
  heldBackSends: metrics.counter(
    'comfreydrum_held_back_sends_total',
    'Requests held back just before they were sent, since their target had just said so.',
    ['service', 'hold'],
  ),
  crashedRuns: metrics.counter(
    'comfreydrum_crashed_runs_total',
    'Runs of requests whose target ended meanwhile.',
    [],
  ),
  cutOffResponses: metrics.counter(
    'comfreydrum_cut_off_responses_total',
    'Responses that were cut off after their head was sent, by cause.',
    ['cause'],
  ),
  firstEventMs: metrics.histogram(
    'comfreydrum_first_event_ms',
    'From the arrival of a request to the first event of its answer.',
  ),
  gapMs: metrics.histogram('comfreydrum_event_gap_ms', 'Between two events of one stream.'),
  responseMs: metrics.histogram('comfreydrum_answer_ms', 'From arrival to a whole answer.'),
});
