/**
 * A rolling change of a model's version takes at most one group out of service at a time, and none
 * where spare instances can form one more group. It breaks no stream, and no stream mixes two
 * versions.
 */
import * as testing from '@comfreydrum/testing';
import { waitForGroups } from './missing-member/storedGroups';
import { checkStream } from './rolling-change/checkStreams';
import {
  countServing,
  createServingSampler,
  type ServingSampler,
} from './rolling-change/createServingSampler';
import { findMixedVersions } from './rolling-change/findMixedVersions';
import { faultKinds, injectFault, type FaultKind } from './rolling-change/injectFault';
import { createBalancer } from './support/createBalancer';
import { countEnds, createLoad } from './support/createLoad';
import { sleep, withFleet } from './support/withFleet';

const groupCount = 3;
const instancesPerGroup = 2;
const enginesInFirstDomain = 4;
const callerCount = 10;
const formTimeoutMs = 15_000;
const rolloutTimeoutMs = 30_000;
const latestFaultMs = 6_000;
const loadAfterMs = 1_000;
const oldVersion = '1';
const newVersion = '2';

const createConfiguration = (version: string) =>
  testing.createTestConfiguration({
    groups: groupCount,
    instancesPerGroup,
    fencing: 'checked',
    loadTimeMs: 500,
    version,
  });

const fleetOptions = (seed: number, hasRoom: boolean): testing.FleetOptions => ({
  seed,
  daemonCount: 3,
  engines: {
    count: (groupCount + (hasRoom ? 1 : 0)) * instancesPerGroup,
    options: { tokenMs: 20, loadMs: 500, fencing: 'checked', printServed: true },
    fabricDomainOf: (index) => (index < enginesInFirstDomain ? 'fabric-0' : 'fabric-1'),
  },
  configuration: createConfiguration(oldVersion),
});

/** Returns the number of groups that must be serving at any time. */
const minServingGroups = (kind: FaultKind, hasRoom: boolean): number =>
  groupCount - (hasRoom ? 0 : 1) - (kind === 'kill-member' ? 1 : 0);

const isRolledOut = (sampler: ServingSampler): boolean => {
  const groups = sampler.latest();
  const isNew = groups.every(({ modelVersion }) => modelVersion === newVersion);
  return isNew && countServing(groups) === groupCount;
};

/** Applies a new version under load, injects a fault, and checks the rollout and the streams. */
export const prove: testing.Proof = ({ seed, random, note }) => {
  const kind = faultKinds[seed % faultKinds.length]!;
  const hasRoom = seed % 2 === 0;
  return withFleet(fleetOptions(seed, hasRoom), async (fleet) => {
    await fleet.waitUntilServing();
    const groups = await waitForGroups(fleet, testing.waitUntil, groupCount, formTimeoutMs);
    const balancer = createBalancer(fleet.daemons);
    const load = createLoad({
      daemons: balancer.ready,
      callerCount,
      minTokens: 20,
      maxTokens: 100,
      random,
    });
    await testing.waitUntil(
      () => load.results().length > callerCount,
      15_000,
      'streams to complete',
    );
    const sampler = createServingSampler(fleet, groups);
    const applied = await fleet.apply(createConfiguration(newVersion), 1);
    if (applied.statusCode !== 200) throw new Error(`not applied: ${JSON.stringify(applied.body)}`);
    const appliedAtMs = Date.now();
    const faultAfterMs = random.integer(0, latestFaultMs);
    note(
      `${kind} after ${faultAfterMs} ms, ${hasRoom ? 'spare instances for one more group' : 'no spare instances'}`,
    );
    await sleep(faultAfterMs);
    const injectedFault = await injectFault(fleet, kind, random, sampler);
    const violations: string[] = [];
    await testing
      .waitUntil(() => isRolledOut(sampler), rolloutTimeoutMs, 'all groups to have the new version')
      .catch(() =>
        violations.push(
          `not all groups serve the new version: ${JSON.stringify(sampler.latest())}`,
        ),
      );
    const rolledOutAtMs = Date.now();
    await sleep(loadAfterMs);
    const results = await load.stop();
    await sampler.stop();
    balancer.stop();
    const served = fleet.engines.flatMap((engine) => engine.startedRequests());
    const { atMs, groups: fewest } = sampler.fewestServing();
    if (countServing(fewest) < minServingGroups(kind, hasRoom)) {
      const seen = fewest.map(({ groupId, phase, modelVersion }) => [groupId, phase, modelVersion]);
      violations.push(
        `only ${countServing(fewest)} groups were serving ${atMs - appliedAtMs} ms after the change: ${JSON.stringify(seen)}`,
      );
    }
    const staleRuns = served.filter(
      ({ startedAtMs, modelVersion }) =>
        startedAtMs > rolledOutAtMs + 500 && modelVersion !== newVersion,
    );
    const ends = countEnds(results);
    return {
      violations: [
        ...violations,
        ...findMixedVersions(served),
        ...staleRuns.map(
          ({ requestId }) => `request ${requestId} ran on the old version after the rollout`,
        ),
        ...results.flatMap((result) => checkStream(result, injectedFault, served, sampler)),
      ],
      figures: {
        rollMs: rolledOutAtMs - appliedAtMs,
        lostGroups: groupCount - countServing(fewest),
        streams: results.length,
        complete: ends.complete ?? 0,
        refused: ends.refused ?? 0,
        errorEvents: ends['error-event'] ?? 0,
        resumes: served.filter(({ resumedFromToken }) => resumedFromToken > 0).length,
      },
    };
  });
};
