import type * as http from 'node:http';

/** A decoded body, or the status and message of the response to an invalid one. */
export type JsonBody =
  | { readonly ok: true; readonly body: unknown; readonly bodyBytes: number }
  | { readonly ok: false; readonly status: number; readonly message: string };

/** Reads a request's body as JSON; `body` is undefined when there is none. */
export const readJson = async (
  request: http.IncomingMessage,
  maxBodyBytes: number,
): Promise<JsonBody> => {
  if (request.method === 'GET') return { ok: true, body: undefined, bodyBytes: 0 };
  const chunks: Buffer[] = [];
  let bodyBytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bodyBytes += chunk.length;
    if (bodyBytes > maxBodyBytes) {
      return { ok: false, status: 413, message: `body is over ${maxBodyBytes} bytes` };
    }
    chunks.push(chunk);
  }
  if (bodyBytes === 0) return { ok: true, body: undefined, bodyBytes };
  try {
    return { ok: true, body: JSON.parse(Buffer.concat(chunks).toString()), bodyBytes };
  } catch (cause) {
    return { ok: false, status: 400, message: `body is not JSON: ${String(cause)}` };
  }
};
