export { createBoundedAgent } from './createBoundedAgent';
export { checkListening, type ListeningState } from './checkListening';
export type { ExecutionStatus } from './ExecutionStatus';
export { createResponseBody, type ResponseBody, type BodyReader } from './createResponseBody';
export type { TargetResponse } from './dispatchRequest';
export {
  createTargetClient,
  type TargetClient,
  type TargetFailure,
  type TargetRequest,
} from './createTargetClient';
export { readWholeBody, type BodyFailure } from './readWholeBody';
