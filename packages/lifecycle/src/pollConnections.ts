import { setImmediate } from 'node:timers/promises';

/**
 * Resolves once the event loop has polled all connections anew. A daemon that was held up reads a request and finds
 * out only at the next poll that its caller has hung up since.
 */
export const pollConnections = async (): Promise<void> => {
  // The first resolves in the current iteration of the event loop, the second one after the poll of the next.
  await setImmediate();
  await setImmediate();
};
