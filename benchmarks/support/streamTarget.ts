/** A target that generates streams at negligible processor cost: `streamTarget.ts IP:port`. */
import * as http from 'node:http';
import process from 'node:process';
import { setImmediate as nextTurn, setTimeout as delay } from 'node:timers/promises';

const [listen = '127.0.0.1:0'] = process.argv.slice(2);
const [host, port] = listen.split(':');
const eventCount = 16;
const slowEventMs = 500;
const floodBytes = 4_096;

let loaded = { groupId: '', generation: 0 };

interface Body {
  readonly prompt?: string;
  readonly groupId?: string;
  readonly generation?: number;
}

const readBody = async (request: http.IncomingMessage): Promise<Body> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return chunks.length === 0 ? {} : (JSON.parse(Buffer.concat(chunks).toString()) as Body);
};

const eventText = (id: string, index: number, text: string) =>
  `data: ${JSON.stringify({ id, object: 'text_completion', choices: [{ index: 0, text }], token_index: index })}\n\n`;

const sendStream = async (body: Body, id: string, response: http.ServerResponse) => {
  const isSlow = body.prompt === 'slow';
  const isFlood = body.prompt === 'flood';
  const text = isFlood ? 'x'.repeat(floodBytes) : ' word';
  response.writeHead(200, { 'content-type': 'text/event-stream' });
  for (let index = 0; isSlow || isFlood || index < eventCount; index += 1) {
    if (response.destroyed) return;
    if (!response.write(eventText(id, index, text))) {
      await new Promise<void>((resolve) => {
        response.once('drain', resolve);
        response.once('close', resolve);
      });
    }
    await (isSlow ? delay(slowEventMs) : nextTurn());
  }
  response.end('data: [DONE]\n\n');
};

const handleRequest = async (request: http.IncomingMessage, response: http.ServerResponse) => {
  const sendJson = (value: object) => response.end(JSON.stringify(value));
  const body = await readBody(request);
  if (request.url === '/presence') {
    sendJson({
      instanceId: 'target-0',
      bootId: 'boot-0',
      phase: 'ready',
      leaving: false,
      ...loaded,
    });
  } else if (request.url === '/orders') {
    loaded = { groupId: body.groupId ?? '', generation: body.generation ?? 0 };
    sendJson({ phase: 'ready' });
  } else {
    await sendStream(body, String(request.headers['x-request-id'] ?? 'direct'), response);
  }
};

const server = http.createServer((request, response) => {
  handleRequest(request, response).catch(() => response.destroy());
});
server.listen(Number(port), host, () => console.log(JSON.stringify({ event: 'listening' })));
