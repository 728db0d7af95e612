export type { CallerRequest, CallerWire } from './CallerRequest';
export type { AnswerFacts, Dispatch, TargetWire } from './TargetWire';
export type { Suspicions } from './RelayParts';
export { endToEndHeaders } from './endToEndHeaders';
export { createRelay, type Relay, type RelayOptions } from './createRelay';
