import type * as tinyhttp from '@tinyhttp/app';

/** Sends an error response. */
export const sendFailure = (
  response: tinyhttp.Response,
  statusCode: number,
  code: string,
  message: string,
): void => {
  response.status(statusCode).json({ error: { code, message } });
};
