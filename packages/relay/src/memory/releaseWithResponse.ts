import type * as http from 'node:http';
import type { Holding } from './createByteBudget';

/** Releases a holding once the response to the caller is closed, whether it was sent or not. */
export const releaseWithResponse = (holding: Holding, response: http.ServerResponse): void => {
  if (response.destroyed) holding.release();
  else response.once('close', holding.release);
};
