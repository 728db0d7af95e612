// The open channels to the store go silent, while new ones work; long afterwards a worker drains. Do requests still reach it
// more than `drain_ms` after the store has confirmed that it is draining?
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearInterval, setInterval } from 'node:timers';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import * as fleet from '#harness/fleet';
import { createProxy } from '#harness/proxy';
import { createStore } from '#harness/store';
import { createWorker } from '#harness/worker';

const hasTrouble = process.env.TROUBLE !== '0';
const folder = dirname(fileURLToPath(import.meta.url));
const record = fleet.createRecorder(folder);
const { sleep, hostAt, bounds } = fleet;
const daemonCount = 2;
const deskPerSecond = 111;
const workMs = 86;
const warmUpMs = 10_000;
/** How often the open channels to the store go silent. */
const silenceCount = 12;
const minSilencePauseMs = 4_000;
const maxSilencePauseMs = 6_000;
/** From the last silence until the worker drains. */
const drainAfterMs = 8_000;
const lingerMs = 4_000;

const daemons = [];
const proxies = [];
const workers = new Map();
const answers = [];
const arrivals = [];
let store;

const run = async () => {
  store = await createStore(hostAt(1));
  store.writeAsOperator('config', 'main', fleet.manifestOf());
  const onEvent = (kind, { id, requestId, sender }) => {
    if (kind === 'arrival') arrivals.push({ id, requestId, sender, atMs: performance.now() });
  };
  for (const id of ['p1', 'p2', 'p3']) {
    const kind = { service: 'desk', host: hostAt(2), answerDelayMs: workMs };
    workers.set(id, await createWorker({ id, store, onEvent, ...kind }));
  }
  for (let index = 1; index <= daemonCount; index += 1) {
    const proxy = await createProxy(hostAt(3), store.address);
    proxies.push(proxy);
    const logFile = process.env.LOGS && `${process.env.LOGS}/daemon-${index}.log`;
    const options = { name: `daemon-${index}`, ip: hostAt(10 + index), record, logFile };
    daemons.push(await fleet.createDaemon({ ...options, storeAddress: proxy.address }));
  }
  const areReady = async () =>
    (await Promise.all(daemons.map((daemon) => daemon.isReady()))).every(Boolean);
  await fleet.waitFor(areReady, 15_000, 'ready daemons');

  const pending = [];
  let count = 0;
  const timer = setInterval(() => {
    count += 1;
    const daemon = daemons[count % daemons.length];
    const path = `/${count % 10 < 7 ? 'filings' : 'lookups'}/${count}`;
    pending.push(
      fleet.call({ daemon, path }).then((answer) => {
        answers.push(answer);
        const { requestId, status, isComplete } = answer;
        const result = `${status} ${isComplete ? 'complete' : 'cut off'}`;
        record(`answer ${requestId} of ${answer.daemon}: ${result}`);
      }),
    );
  }, 1_000 / deskPerSecond);
  await sleep(warmUpMs);
  for (let round = 0; round < silenceCount; round += 1) {
    await sleep(minSilencePauseMs + Math.random() * (maxSilencePauseMs - minSilencePauseMs));
    if (!hasTrouble) continue;
    const silentCounts = proxies.map((proxy) => proxy.silence());
    record(`open channels to the store go silent: ${silentCounts.join(' and ')}`);
  }
  await sleep(drainAfterMs);

  const leaving = workers.get('p3');
  leaving.drain();
  const drainedAtMs = performance.now();
  record(`p3 drains, ${drainAfterMs} ms after the last silence`);
  await sleep(bounds.drain_ms + lingerMs);
  leaving.leave();
  record('p3 ends');
  await sleep(1_000);
  clearInterval(timer);
  await Promise.all(pending);

  const sentAtMs = new Map(answers.map((answer) => [answer.requestId, answer.sentAtMs]));
  const late = arrivals.filter(
    ({ id, requestId }) => id === 'p3' && sentAtMs.get(requestId) > drainedAtMs + bounds.drain_ms,
  );
  const served = answers.filter(({ status, isComplete }) => status === 200 && isComplete).length;
  const failed = answers.filter(
    ({ status, sentAtMs: atMs }) => atMs > drainedAtMs && status !== 200,
  ).length;
  const senders = [...new Set(late.map(({ sender }) => sender))].join(' and ');
  record(`${answers.length} requests, ${served} served; ${failed} failed after the drain began`);
  record(
    `${late.length} requests reached p3 later than drain_ms after its draining, sent by ${senders || 'none'}`,
  );
  if (served < answers.length / 4) throw new Error('under a quarter of the requests was served');
  return late.length > 0 ? 1 : 0;
};

let result = 2;
try {
  result = await run();
} catch (cause) {
  record(`the case couldn't run: ${cause.stack}`);
} finally {
  await Promise.all(daemons.map((daemon) => daemon.stop()));
  proxies.forEach((proxy) => proxy.stop());
  workers.forEach((worker) => worker.end());
  await store?.stop();
}
record(`result ${result}`);
process.exit(result);
