// The open channels to the store go silent, while new ones work; long afterwards the operator moves routes to another service
// and back. Does the old service run requests that were sent more than `config_deadline_ms` after the confirmation?
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
const warmUpMs = 6_000;
/** How often the open channels to the store go silent, each time followed by a change of the manifest. */
const roundCount = 9;
/** More than `stable_ms`, so that all daemons are in touch again. */
const changeAfterMs = 5_400;
const observeMs = 5_000;
const serviceNames = ['desk', 'desk-2'];

const daemons = [];
const proxies = [];
const workers = new Map();
const answers = [];
const runs = [];
let store;

/** The manifest in which the routes of the desk lead to a service. */
const manifestFor = (version, serviceName) => {
  const manifest = fleet.manifestOf({ version });
  const routes = manifest.routes.map((route) =>
    route.service === 'desk' ? { ...route, service: serviceName } : route,
  );
  const [models, desk] = manifest.services;
  const services = [models, ...serviceNames.map((name) => ({ ...desk, name }))];
  return { ...manifest, routes, services };
};

const run = async () => {
  store = await createStore(hostAt(1));
  store.writeAsOperator('config', 'main', manifestFor(7, 'desk'));
  for (const service of serviceNames) {
    const onEvent = (kind, { requestId, sender }) => {
      if (kind === 'run') runs.push({ service, requestId, sender });
    };
    for (const id of [`${service}-a`, `${service}-b`, `${service}-c`]) {
      const kind = { service, host: hostAt(2), answerDelayMs: workMs };
      workers.set(id, await createWorker({ id, store, onEvent, ...kind }));
    }
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
  const changes = [];
  for (let round = 1; round <= roundCount; round += 1) {
    if (hasTrouble) {
      const silentCounts = proxies.map((proxy) => proxy.silence());
      record(`open channels to the store go silent: ${silentCounts.join(' and ')}`);
    }
    await sleep(changeAfterMs);
    const version = 7 + round;
    const service = serviceNames[round % serviceNames.length];
    store.writeAsOperator('config', 'main', manifestFor(version, service));
    changes.push({ service, atMs: performance.now() });
    record(`version ${version} leads to ${service}, revision ${store.revision()}`);
    await sleep(observeMs);
  }
  clearInterval(timer);
  await Promise.all(pending);

  const sentAtMs = new Map(answers.map((answer) => [answer.requestId, answer.sentAtMs]));
  const outdated = changes.map(({ service, atMs }, index) => {
    const nextAtMs = changes[index + 1]?.atMs ?? Infinity;
    // Daemons are out of touch from the next silence on.
    const untilMs = Math.min(nextAtMs, atMs + observeMs);
    return runs.filter((ran) => {
      const sentMs = sentAtMs.get(ran.requestId);
      const isDue = sentMs > atMs + bounds.config_deadline_ms && sentMs < untilMs;
      return isDue && ran.service !== service;
    });
  });
  const served = answers.filter(({ status, isComplete }) => status === 200 && isComplete).length;
  const senders = [...new Set(outdated.flat().map(({ sender }) => sender))].join(' and ');
  record(`${answers.length} requests, ${served} served`);
  record(
    `run by the old service though the change was due, for each change: ${outdated.map((some) => some.length).join(', ')}; sent by ${senders || 'none'}`,
  );
  if (served < answers.length / 4) throw new Error('under a quarter of the requests was served');
  return outdated.flat().length > 0 ? 1 : 0;
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
