export type { RanState } from './RanState';
export { createAnswerBody, type AnswerBody, type BodyReader } from './createAnswerBody';
export type { TargetAnswer } from './dispatchRequest';
export {
  createTargetClient,
  type TargetClient,
  type TargetFailure,
  type TargetRequest,
} from './createTargetClient';
export { readWholeBody, type BodyFailure } from './readWholeBody';
