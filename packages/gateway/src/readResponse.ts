import * as errors from '@comfreydrum/errors';
import * as targetClient from '@comfreydrum/target-client';
import type { ServiceResponse } from './ServiceResponse';

const maxResponseBytes = 8_388_608;

/** Reads a target's complete response, up to 8 MiB. `contentType` is the default if the target sends none. */
export const readResponse = async (
  response: targetClient.TargetResponse,
  peer: string,
  contentType: string,
): Promise<errors.Result<ServiceResponse, targetClient.BodyFailure>> => {
  const read = await targetClient.readWholeBody(response.body, peer, maxResponseBytes);
  if (!read.ok) return read;
  return errors.ok({
    statusCode: response.statusCode,
    contentType: String(response.headers['content-type'] ?? contentType),
    body: read.value,
  });
};
