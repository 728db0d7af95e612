import * as errors from '@comfreydrum/errors';
import * as targetClient from '@comfreydrum/target-client';
import * as undici from 'undici';
import { CommandFailure } from './CommandFailure';
import { exitCodes } from './exitCodes';

/** Response of the administration interface. */
export interface AdminResponse {
  readonly statusCode: number;
  readonly body: unknown;
}

/** Client of the administration interface of one daemon. */
export interface AdminClient {
  readonly url: string;
  /** Throws a `CommandFailure` if the daemon does not respond or rejects the token. */
  readonly call: (
    method: 'GET' | 'PUT' | 'POST' | 'DELETE',
    path: string,
    options?: { readonly body?: unknown; readonly headers?: Readonly<Record<string, string>> },
  ) => Promise<AdminResponse>;
}

const callTimeoutMs = 15_000;

const parseBody = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
};

/** Returns the message of an error response, or a text with its status code if it has none. */
export const describeError = ({ statusCode, body }: AdminResponse): string => {
  const { error, message } = (body ?? {}) as {
    readonly error?: { readonly message?: string };
    readonly message?: string;
  };
  return error?.message ?? message ?? `answer ${statusCode}`;
};

/** Creates a client for the administration interface at `url`. */
export const createAdminClient = (url: string, token: string): AdminClient => {
  const agent = targetClient.createBoundedAgent({
    headersTimeout: callTimeoutMs,
    bodyTimeout: callTimeoutMs,
  });
  return {
    url,
    call: async (method, path, { body, headers } = {}) => {
      const step = `${method} ${path}`;
      let response: AdminResponse;
      try {
        const httpResponse = await undici.request(`${url}${path}`, {
          method,
          dispatcher: agent,
          headers: {
            authorization: `Bearer ${token}`,
            'content-type': 'application/json',
            ...headers,
          },
          body: body === undefined ? null : JSON.stringify(body),
        });
        response = {
          statusCode: httpResponse.statusCode,
          body: parseBody(await httpResponse.body.text()),
        };
      } catch (cause) {
        const message = `${url} gave no answer: ${errors.describeCause(cause)}`;
        throw new CommandFailure(step, url, message, exitCodes.unavailable);
      }
      if (response.statusCode === 401 || response.statusCode === 403) {
        throw new CommandFailure(step, url, describeError(response), exitCodes.failure);
      }
      return response;
    },
  };
};
