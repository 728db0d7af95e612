/**
 * Groups of several fabric domains together never load faster than the bandwidth of the weight
 * store.
 */
import * as testing from '@comfreydrum/testing';
import { injectFault, type FaultKind } from './rolling-change/injectFault';
import { sleep, withFleet } from './support/withFleet';
import { createLoadingSampler } from './weight-store/createLoadingSampler';

const faultKinds: readonly FaultKind[] = ['none', 'kill-controller', 'outage', 'lost-answers'];
const groupCount = 6;
const instancesPerGroup = 2;
const enginesPerDomain = 4;
const loadMs = 1_500;
const fullRateLoads = 2;
const groupBytes = 3_000;
const latestFaultMs = 3_000;
const serveTimeoutMs = 30_000;

const createConfiguration = (fencing: 'checked' | 'ignored') => {
  const document = testing.createTestConfiguration({
    groups: groupCount,
    instancesPerGroup,
    fencing,
    loadTimeMs: loadMs,
  });
  return {
    ...document,
    models: document.models.map((model) => ({ ...model, weightBytes: groupBytes })),
    weightStoreBytesPerSecond: (fullRateLoads * groupBytes * 1_000) / loadMs,
  };
};

/**
 * Forms groups in three fabric domains at once, injects a fault, and checks the concurrent loads.
 */
export const prove: testing.Proof = ({ seed, random, note }) => {
  const fencing = seed % 8 >= 4 ? 'ignored' : 'checked';
  return withFleet(
    {
      seed,
      daemonCount: 3,
      engines: {
        count: groupCount * instancesPerGroup,
        options: { loadMs, fencing },
        fabricDomainOf: (index) => `fabric-${Math.floor(index / enginesPerDomain)}`,
      },
      configuration: 'none',
    },
    async (fleet) => {
      const kind = faultKinds[seed % faultKinds.length]!;
      const sampler = createLoadingSampler(fleet);
      const applied = await fleet.apply(createConfiguration(fencing), 'none');
      if (applied.statusCode !== 200) throw new Error(JSON.stringify(applied.body));
      const appliedAtMs = Date.now();
      await testing.waitUntil(() => sampler.mostLoading() > 0, 10_000, 'a group to load');
      const faultAfterMs = random.integer(0, latestFaultMs);
      note(`${kind} after ${faultAfterMs} ms with fencing ${fencing}`);
      await sleep(faultAfterMs);
      await injectFault(fleet, kind, random, sampler);
      const violations: string[] = [];
      const isServing = () =>
        sampler.latest().filter(({ phase }) => phase === 'serving').length === groupCount;
      await testing
        .waitUntil(isServing, serveTimeoutMs, 'all groups to serve')
        .catch(() => violations.push(`not all groups serve: ${JSON.stringify(sampler.latest())}`));
      const servedMs = Date.now() - appliedAtMs;
      await sampler.stop();
      const mostLoading = sampler.mostLoading();
      if (mostLoading > fullRateLoads)
        violations.push(`${mostLoading} groups loaded at the same time`);
      const slotWrites = sampler.slotWriteCount();
      return { violations, figures: { mostLoading, servedMs, slotWrites } };
    },
  );
};
