// A caller that sends single requests and reads the whole answer.
import { Buffer } from 'node:buffer';
import http from 'node:http';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';

let count = 0;
export const newRequestId = () => {
  count += 1;
  return `${process.pid.toString(16)}${count.toString(16).padStart(8, '0')}`;
};

/** Sends a request on a new connection; resolves with the status, 0 for a closed connection or no answer in time. */
export const sendRequest = ({
  ip,
  port,
  path,
  method = 'GET',
  headers,
  body,
  timeoutMs = 2_000,
  agent = false,
}) =>
  new Promise((resolve) => {
    const id = headers['X-Comfreydrum-Request-Id'];
    const chunks = [];
    let settled = false;
    let timer;
    const settle = (result) => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      resolve({ id, ...result, text: Buffer.concat(chunks).toString() });
    };
    const request = http.request({ host: ip, port, path, method, headers, agent }, (response) => {
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('end', () =>
        settle({
          status: response.statusCode,
          headers: response.headers,
          isWhole: response.complete,
        }),
      );
      response.on('error', () =>
        settle({ status: response.statusCode, headers: response.headers, isWhole: false }),
      );
    });
    timer = setTimeout(() => {
      settle({ status: 0, isWhole: false, reason: 'no answer in time' });
      request.destroy();
    }, timeoutMs);
    request.on('error', (cause) =>
      settle({ status: 0, isWhole: false, reason: cause.code ?? cause.message }),
    );
    request.end(body);
  });
