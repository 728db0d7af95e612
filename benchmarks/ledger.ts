/**
 * Measures the cost of claims for non-idempotent requests (platform calls, added latency and processor
 * time) and compares it with a baseline that writes one object per claim.
 */
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import * as telemetry from '@comfreydrum/telemetry';
import * as testing from '@comfreydrum/testing';
import type * as ledger from '@comfreydrum/ledger';
import { createMemoryFleet } from '../packages/ledger/src/testing/createMemoryFleet';
import { createMemoryPlatform } from '../packages/ledger/src/testing/createMemoryPlatform';

const claimsPerSecond = 220;
const loadMs = 8_000;
const platformLatencyMs = 4;
const peerLatencyMs = 1;
const runMs = 100;
const seed = 12;
const filledKeys = 60_000;
const idleClaims = 20;

const answer: ledger.StoredResponse = {
  statusCode: 201,
  contentType: 'application/json',
  bodyBase64: Buffer.from('x'.repeat(200)).toString('base64'),
};

const createRequest = (key: string): ledger.ClaimRequest => ({
  team: 'navarra-norte',
  customer: 'pamplona',
  caller: 'clerk-7',
  routeName: 'file',
  key,
  requestDigest: key,
  requestId: key,
  windowMs: 86_400_000,
});

type RunRequest = (index: number) => Promise<void>;

/** Starts requests as a Poisson process at the peak rate, and waits for all of them to finish. */
const offerLoad = async (runRequest: RunRequest): Promise<number> => {
  const random = testing.createRandom(seed);
  const running: Promise<void>[] = [];
  const startedAtMs = performance.now();
  let nextStartMs = 0;
  for (let index = 0; nextStartMs < loadMs; index += 1) {
    nextStartMs += (-Math.log(1 - random.fraction()) * 1_000) / claimsPerSecond;
    const waitMs = startedAtMs + nextStartMs - performance.now();
    if (waitMs > 1) await sleep(waitMs);
    running.push(runRequest(index));
  }
  await Promise.all(running);
  return performance.now() - startedAtMs;
};

const measureLoad = async (
  runRequest: RunRequest,
  counts: () => { reads: number; writes: number },
) => {
  const before = counts();
  const cpuBefore = process.cpuUsage();
  const durationMs = await offerLoad(runRequest);
  const cpu = process.cpuUsage(cpuBefore);
  const after = counts();
  const claims = (claimsPerSecond * loadMs) / 1_000;
  const perSecond = (count: number) => Math.round((count * 10_000) / durationMs) / 10;
  return {
    writesPerSecond: perSecond(after.writes - before.writes),
    readsPerSecond: perSecond(after.reads - before.reads),
    cpuMsPerClaim: Math.round(cpu.user + cpu.system) / 1_000 / claims,
  };
};

const createLatencyHistogram = () => telemetry.createMetrics().histogram('latency_ms', 'latency');

const summarizeLatency = (latency: telemetry.Histogram) => ({
  p50Ms: latency.quantile(0.5),
  p99Ms: latency.quantile(0.99),
});

const benchBaseline = async () => {
  const store = createMemoryPlatform(platformLatencyMs);
  const latency = createLatencyHistogram();
  const runRequest = async (index: number) => {
    const key = { kind: 'claim', name: String(index) };
    const startedAtMs = performance.now();
    const created = await store.put(key, createRequest(key.name), 'absent');
    latency.record(performance.now() - startedAtMs);
    await sleep(runMs);
    const version = created.ok ? created.value : 0;
    await store.put(key, { ...createRequest(key.name), answer }, { version });
  };
  const load = await measureLoad(runRequest, store.counts);
  return { ...load, ...summarizeLatency(latency) };
};

const claimOnce = async (part: ledger.LedgerComponent, key: string): Promise<number> => {
  const startedAtMs = performance.now();
  const decision = await part.claim(createRequest(key), startedAtMs + 5_000);
  const durationMs = performance.now() - startedAtMs;
  if (decision.kind !== 'granted') throw new Error(`claim "${key}" not granted: ${decision.kind}`);
  decision.grant.tryDispatch();
  await sleep(runMs);
  void part.finish(decision.grant, { kind: 'ran', answer });
  return durationMs;
};

const startFleet = async (daemonCount: number) => {
  const store = createMemoryPlatform(platformLatencyMs);
  const fleet = createMemoryFleet(store, { latencyMs: peerLatencyMs });
  const daemons = await Promise.all(
    Array.from({ length: daemonCount }, (_, index) => fleet.start(`entry-${index}`)),
  );
  return { store, ledgers: daemons.map(({ ledger: part }) => part) };
};

const benchFleet = async (daemonCount: number) => {
  const { store, ledgers } = await startFleet(daemonCount);
  const latency = createLatencyHistogram();
  const runRequest = async (index: number) => {
    latency.record(await claimOnce(ledgers[index % daemonCount]!, `key-${index}`));
  };
  const load = await measureLoad(runRequest, store.counts);
  const statistics = ledgers.map((part) => part.statistics());
  const sum = (select: (one: ledger.LedgerStatistics) => number) =>
    statistics.reduce((total, one) => total + select(one), 0);
  const batchedOperations = sum(({ batchedOperations: count }) => count);
  return {
    daemonCount,
    ...load,
    ...summarizeLatency(latency),
    operationsPerWrite: Math.round((batchedOperations * 10) / sum(({ batches }) => batches)) / 10,
    writeConflicts: sum(({ writeConflicts }) => writeConflicts),
  };
};

const benchIdle = async () => {
  const { store, ledgers } = await startFleet(8);
  const latency = createLatencyHistogram();
  let calls = 0;
  for (let index = 0; index < idleClaims; index += 1) {
    const before = store.counts();
    const decision = claimOnce(ledgers[index % ledgers.length]!, `idle-${index}`);
    await sleep(runMs / 2);
    const after = store.counts();
    calls += after.reads + after.writes - before.reads - before.writes;
    latency.record(await decision);
    await sleep(runMs * 2);
  }
  return { callsPerClaim: calls / idleClaims, ...summarizeLatency(latency) };
};

const fastSettings = { partitionCount: 1, batchWindowMs: 1, answerRetentionMs: 1 };

/** Fills a partition, then measures its size and what a new owner reads before its first grant. */
const benchNewOwner = async () => {
  const store = createMemoryPlatform();
  const fleet = createMemoryFleet(store, { settings: { ...fastSettings, claimTimeoutMs: 60_000 } });
  const first = await fleet.start('entry-0');
  const runRequest = async (index: number) => {
    const decision = await first.ledger.claim(createRequest(`${index}`), performance.now() + 6e4);
    if (decision.kind !== 'granted') throw new Error(`fill claim not granted: ${decision.kind}`);
    decision.grant.tryDispatch();
    await first.ledger.finish(decision.grant, { kind: 'ran', answer });
  };
  const callers = Array.from({ length: 400 }, async (_, caller) => {
    for (let index = caller; index < filledKeys; index += 400) await runRequest(index);
  });
  await Promise.all(callers);
  const before = store.counts();
  fleet.kill('entry-0');
  const second = await fleet.start('entry-1');
  const startedAtMs = performance.now();
  const decision = await second.ledger.claim(createRequest('new'), startedAtMs + 60_000);
  const durationMs = performance.now() - startedAtMs;
  if (decision.kind !== 'granted') throw new Error(`new owner did not grant: ${decision.kind}`);
  return {
    keys: filledKeys,
    storedBytesPerKey: Math.round(store.storedBytes() / filledKeys),
    indexBytesPerKey: second.ledger.statistics().indexBytes / filledKeys,
    reads: store.counts().reads - before.reads,
    durationMs: Math.round(durationMs),
  };
};

/** Measures the baseline, fleets of 8 and 32 daemons, an idle fleet and a change of partition owner. */
export const bench = async () => ({
  claimsPerSecond,
  platformLatencyMs,
  baselineOneCreatePerClaim: await benchBaseline(),
  fleets: [await benchFleet(8), await benchFleet(32)],
  idle: await benchIdle(),
  newOwner: await benchNewOwner(),
});
