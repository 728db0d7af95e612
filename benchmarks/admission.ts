/** Measures the processor time and memory of admission and routing per request, by number of groups. */
import process from 'node:process';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import * as clock from '@comfreydrum/clock';
import * as routing from '@comfreydrum/routing';
import * as testing from '@comfreydrum/testing';
import { createSlotPool } from '../packages/gateway/src/createSlotPool';
import type { Candidate, SlotPool } from '../packages/gateway/src/SlotPool';

const groupCounts = [1, 16, 125];
const warmUpRequests = 2_000;
const measuredRequests = 20_000;
const tokensPerRequest = 16;
const promptLength = 4_096;
const sharedPromptLength = 2_048;
const sharedPrompts = 40;
const maxConcurrentPerGroup = 64;
const bytesPerMb = 1_048_576;

const createCandidates = (groupCount: number): readonly Candidate[] =>
  Array.from({ length: groupCount }, (_, index) => ({
    id: `fabric-${index}.1.0`,
    url: `http://127.0.0.1:${index + 1}`,
    failureDomain: `domain-${index % 15}`,
    maxConcurrent: maxConcurrentPerGroup,
    generation: 1,
  }));

const createPool = async (groupCount: number): Promise<SlotPool> => {
  const candidates = createCandidates(groupCount);
  return createSlotPool({
    name: 'model drafting',
    clock: clock.createSystemClock(),
    candidates: () => candidates,
    router: routing.createRouter({
      strategy: new routing.PredictedFirstTokenStrategy(() => 0),
      random: routing.createRandom(1),
    }),
    hasher: await routing.createPrefixHasher(),
    targets: { firstTokenMs: 60_000, betweenTokensMs: 60_000 },
    slotMsPerToken: 25,
    shareOf: (maxConcurrent) => maxConcurrent,
  });
};

const runRequests = async (pool: SlotPool, random: testing.Random, count: number) => {
  const { signal } = new AbortController();
  for (let index = 0; index < count; index += 1) {
    const shared = String(random.integer(0, sharedPrompts)).padEnd(sharedPromptLength, 'a clause ');
    const acquisition = await pool.acquire(
      {
        requestId: `request-${random.integer(0, 1e12)}`,
        customerName: `customer-${index % 10}`,
        customerWeight: 1,
        priority: 'interactive',
        deadlineAtMs: performance.now() + 60_000,
        triedIds: new Set(),
        prompt: `${shared}${random.integer(0, 1e9)}`.padEnd(promptLength, 'a family '),
        maxOutputTokens: tokensPerRequest,
      },
      signal,
    );
    if (acquisition.kind === 'refused') throw new Error(acquisition.refusal.message);
    for (let token = 0; token < tokensPerRequest; token += 1) acquisition.slot.onToken();
    acquisition.slot.release();
  }
};

const collectGarbage = (): void => {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
};

const measure = async (groupCount: number) => {
  const pool = await createPool(groupCount);
  const random = testing.createRandom(1);
  await runRequests(pool, random, warmUpRequests);
  collectGarbage();
  const heapBefore = process.memoryUsage().heapUsed;
  const cpuBefore = process.cpuUsage();
  await runRequests(pool, random, measuredRequests);
  const { user, system } = process.cpuUsage(cpuBefore);
  collectGarbage();
  const heapBytes = process.memoryUsage().heapUsed - heapBefore;
  return {
    groupCount,
    cpuUsPerRequest: Number(((user + system) / measuredRequests).toFixed(1)),
    heapMb: Number((heapBytes / bytesPerMb).toFixed(1)),
  };
};

/** Returns the processor time per request and the total heap growth for each number of groups. */
export const bench = async () => {
  const rows: Awaited<ReturnType<typeof measure>>[] = [];
  for (const groupCount of groupCounts) rows.push(await measure(groupCount));
  return { measuredRequests, promptLength, tokensPerRequest, rows };
};
