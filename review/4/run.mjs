// The store comes back from a copy some seconds old; afterwards a worker drains. Do requests still reach it more than
// `drain_ms` after the store has confirmed that it is draining?
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearInterval, setInterval } from 'node:timers';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import * as fleet from '#harness/fleet';
import { createStore } from '#harness/store';
import { createWorker } from '#harness/worker';

const hasTrouble = process.env.TROUBLE !== '0';
const folder = dirname(fileURLToPath(import.meta.url));
const record = fleet.createRecorder(folder);
const { sleep, hostAt, bounds } = fleet;
const modelWorkerCount = 9;
const groupSize = 3;
const requestIntervalMs = 50;
/** How long the draining worker goes on serving after `drain_ms`. */
const lingerMs = 4_000;

const daemons = [];
const workers = new Map();
const arrivals = [];
const answers = [];
let store;
let isTraffic = false;

const run = async () => {
  store = await createStore(hostAt(1));
  const manifest = fleet.manifestOf({ size: groupSize, resumable: false });
  const models = Object.fromEntries(
    manifest.services[0].engine.models.map((model) => [model.name, model]),
  );
  store.writeAsOperator('config', 'main', manifest);
  const onEvent = (kind, fields) => {
    record(`worker ${kind} ${JSON.stringify(fields)}`);
    if (kind === 'arrival') arrivals.push({ ...fields, atMs: performance.now() });
  };
  const shared = { store, onEvent, models, isBeforeTraffic: () => !isTraffic };
  for (let index = 1; index <= modelWorkerCount; index += 1) {
    const id = `m${index}`;
    const kind = { service: 'models', domain: 'd1', host: hostAt(2) };
    workers.set(id, await createWorker({ id, ...kind, ...shared }));
  }
  const plain = await createWorker({ id: 'p1', service: 'desk', host: hostAt(2), ...shared });
  workers.set('p1', plain);
  // The store's latest copy is made here, before the groups are formed.
  const copy = store.copy();
  const copiedAtMs = performance.now();
  record(`copy made at revision ${copy.revision}`);
  for (let index = 1; index <= 2; index += 1) {
    const logFile = process.env.LOGS && `${process.env.LOGS}/daemon-${index}.log`;
    const options = { name: `daemon-${index}`, ip: hostAt(10 + index), record, logFile };
    daemons.push(await fleet.createDaemon({ ...options, storeAddress: store.address }));
  }
  const groupCount = modelWorkerCount / groupSize;
  const heads = () => [...workers.values()].filter((worker) => worker.isOpenHead());
  await fleet.waitFor(
    async () =>
      heads().length === groupCount &&
      (await Promise.all(daemons.map((d) => d.isReady()))).every(Boolean),
    25_000,
    'serving fleet',
  );
  record(`${groupCount} groups are open, revision ${store.revision()}`);
  await sleep(1_500);

  if (hasTrouble) {
    const ageS = ((performance.now() - copiedAtMs) / 1_000).toFixed(1);
    record(`the store goes away at revision ${store.revision()}; its copy is ${ageS} s old`);
    await store.comeBackFrom(copy, 800);
    record(`the store is back, era ${store.era()}, revision ${store.revision()}`);
  }
  const storeBackAtMs = performance.now();

  isTraffic = true;
  let index = 0;
  const pending = [];
  const timer = setInterval(() => {
    index += 1;
    const daemon = daemons[index % daemons.length];
    const request = { daemon, path: `/drafts/${index}`, headers: fleet.draftHeaders };
    pending.push(
      fleet.call(request).then((answer) => {
        answers.push(answer);
        const { requestId, status, isComplete } = answer;
        const result = `${status} ${isComplete ? 'complete' : 'cut off'}`;
        record(`answer ${requestId} from ${answer.daemon}: ${result}`);
      }),
    );
  }, requestIntervalMs);
  // More than `stable_ms` after the store is back, for the workers to write again and for all to be in touch.
  await sleep(2 * bounds.stable_ms);
  const known = [...workers.keys()].map(
    (id) => `${id}@${store.read('servers', id)?.metadata.revision}`,
  );
  record(`entries ${known.join(' ')}, revision ${store.revision()}`);

  const leaving = heads()[0];
  leaving.drain();
  const drainedAtMs = performance.now();
  const afterS = ((drainedAtMs - storeBackAtMs) / 1_000).toFixed(1);
  record(`${leaving.id} drains, ${afterS} s after the store is back; revision ${store.revision()}`);
  await sleep(bounds.drain_ms + lingerMs);
  leaving.leave();
  record(`${leaving.id} ends`);
  await sleep(1_000);
  clearInterval(timer);
  await Promise.all(pending);

  const sentAtMs = new Map(answers.map((answer) => [answer.requestId, answer.sentAtMs]));
  const late = arrivals.filter(
    ({ id, requestId }) =>
      id === leaving.id && sentAtMs.get(requestId) > drainedAtMs + bounds.drain_ms,
  );
  const cut = answers.filter(
    ({ status, isComplete, sentAtMs: atMs }) =>
      atMs > drainedAtMs && (status !== 200 || !isComplete),
  );
  const served = answers.filter(({ status, isComplete }) => status === 200 && isComplete).length;
  record(
    `${answers.length} requests, ${served} served; ${cut.length} failed after the drain began`,
  );
  record(`${late.length} requests reached ${leaving.id} later than drain_ms after its draining`);
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
  workers.forEach((worker) => worker.end());
  await store?.stop();
}
record(`result ${result}`);
process.exit(result);
