/** Minimal proxy of tinyhttp and undici, as a baseline: `passThrough.ts IP:port TARGET-URL`. */
import { pipeline } from 'node:stream/promises';
import process from 'node:process';
import * as tinyhttp from '@tinyhttp/app';
import * as undici from 'undici';

const [listen = '127.0.0.1:0', targetUrl = ''] = process.argv.slice(2);
const [host, port] = listen.split(':');
const agent = new undici.Agent({ connections: 1_024, pipelining: 1 });

const app = new tinyhttp.App();
app.post('/v1/completions', async (request, response) => {
  const targetResponse = await agent.request({
    origin: targetUrl,
    path: '/v1/completions',
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: request,
  });
  response.writeHead(targetResponse.statusCode, {
    'content-type': String(targetResponse.headers['content-type']),
  });
  await pipeline(targetResponse.body, response).catch(() => response.destroy());
});
app.listen(Number(port), () => console.log(JSON.stringify({ event: 'listening' })), host);
