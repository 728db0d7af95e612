import type * as telemetry from '@comfreydrum/telemetry';

/** The metrics of the gateway. */
export interface GatewayMetrics {
  readonly requests: telemetry.Counter;
  readonly refusals: telemetry.Counter;
  readonly resumes: telemetry.Counter;
  readonly tokens: telemetry.Counter;
  readonly firstTokenMs: telemetry.Histogram;
  readonly betweenTokensMs: telemetry.Histogram;
}

/** Registers the metrics of the gateway. */
export const createGatewayMetrics = (metrics: telemetry.Metrics): GatewayMetrics => ({
  requests: metrics.counter('comfreydrum_requests_total', 'Requests by route.', ['route']),
  refusals: metrics.counter('comfreydrum_refusals_total', 'Refusals by step and code.', [
    'step',
    'code',
  ]),
  resumes: metrics.counter('comfreydrum_resumes_total', 'Streams resumed on another group.'),
  tokens: metrics.counter('comfreydrum_tokens_total', 'Tokens delivered to callers.'),
  firstTokenMs: metrics.histogram(
    'comfreydrum_first_token_ms',
    'Time from the request to its first token, in milliseconds.',
  ),
  betweenTokensMs: metrics.histogram(
    'comfreydrum_between_tokens_ms',
    'Time between the tokens of one stream, in milliseconds.',
  ),
});
