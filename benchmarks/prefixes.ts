/** Measures the fraction of prompt tokens that groups find in their prefix caches, behind several daemons. */
import { setTimeout as sleep } from 'node:timers/promises';
import * as testing from '@comfreydrum/testing';
import * as replays from './replay/replayRouting';

const seeds = [1, 2, 3];
const daemonCount = 4;
const groupCount = 6;
const callerCount = 12;
const warmUpMs = 5_000;
const measuredMs = 15_000;
const documentCount = 60;
const wordsPerDocument = 1_600;
const wordsPerCase = 20;
const answerTokens = 12;

/** Six caches of 16,384 tokens hold about half of the documents if no document is in two caches. */
const fleetOptions = (seed: number): testing.FleetOptions => ({
  seed,
  daemonCount,
  engines: {
    count: groupCount,
    options: { tokenMs: 8, prefillMsPerToken: 0.06, loadMs: 50, cacheTokens: 16_384 },
    fabricDomainOf: (index) => `fabric-${index}`,
    failureDomainIndexOf: (index) => index,
  },
  configuration: testing.createTestConfiguration({ groups: groupCount, instancesPerGroup: 1 }),
});

const createText = (name: string, wordCount: number) => `${name} `.repeat(wordCount);

/** Draws a prompt; popularity is skewed, half of the requests use about a seventh of the documents. */
const drawPrompt = (random: testing.Random, sequence: number) => {
  const document = Math.floor(documentCount * random.fraction() ** 3);
  const text = createText(`d${100 + document}`, wordsPerDocument);
  return `${text}${createText(`case${sequence}`, wordsPerCase)}`;
};

const measure = async (seed: number) => {
  const fleet = await testing.createFleet(fleetOptions(seed));
  try {
    await fleet.waitUntilServing();
    const random = testing.createRandom(seed);
    const startMs = Date.now();
    const endMs = startMs + warmUpMs + measuredMs;
    const firstTokenMs: number[] = [];
    let sequence = 0;
    const runCaller = async () => {
      while (Date.now() < endMs) {
        const isMeasured = Date.now() >= startMs + warmUpMs;
        sequence += 1;
        const outcome = await testing.streamCompletion({
          url: random.pick(fleet.daemons).directUrl,
          token: testing.customerToken(testing.testNames.customer),
          prompt: drawPrompt(random, sequence),
          model: testing.testNames.model,
          maxTokens: answerTokens,
        });
        if (isMeasured && outcome.firstTokenMs !== undefined) {
          firstTokenMs.push(outcome.firstTokenMs);
        }
        await sleep(random.integer(20, 60));
      }
    };
    await Promise.all(Array.from({ length: callerCount }, runCaller));
    const served = (await Promise.all(fleet.engines.map((engine) => engine.served())))
      .flat()
      .filter(({ startedAtMs }) => startedAtMs >= startMs + warmUpMs);
    const promptTokens = served.reduce((sum, request) => sum + request.promptTokens, 0);
    const cachedTokens = served.reduce((sum, request) => sum + request.cachedTokens, 0);
    return {
      seed,
      requests: firstTokenMs.length,
      cachedPart: Number((cachedTokens / promptTokens).toFixed(3)),
      firstTokenP50Ms: Math.round(replays.quantile(firstTokenMs, 0.5)),
      firstTokenP95Ms: Math.round(replays.quantile(firstTokenMs, 0.95)),
    };
  } finally {
    await fleet.stop();
  }
};

/** Measures one fleet per seed, one after the other. */
export const bench = async (): Promise<object> => {
  const runs: object[] = [];
  for (const seed of seeds) runs.push(await measure(seed));
  return { daemonCount, groupCount, callerCount, documentCount, runs };
};
