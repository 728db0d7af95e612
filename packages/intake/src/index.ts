export { createBodyBuffer, type BodyBuffer } from './createBodyBuffer';
export { createReadPacer, type ReadPacer } from './createReadPacer';
export {
  createRequestGate,
  type GateOptions,
  type GateRefusal,
  type RequestGate,
} from './createRequestGate';
export { discardRefusedBody, type DiscardBounds } from './discardRefusedBody';
export {
  limitConnections,
  type ConnectionLimit,
  type ConnectionLimitOptions,
} from './limitConnections';
