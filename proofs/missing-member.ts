/** No request is dispatched to a group more than 2 s after one of its members was lost. */
import { setTimeout as delay } from 'node:timers/promises';
import * as testing from '@comfreydrum/testing';
import { createCallers } from './missing-member/createCallers';
import { waitForGroups, type StoredGroup } from './missing-member/storedGroups';
import { readDispatches } from './missing-member/readDispatches';

const stopWithinMs = 2_000;
const observationMs = 5_000;
const formTimeoutMs = 20_000;
const reformTimeoutMs = 15_000;
const loadBeforeMs = 1_500;
const groupCount = 2;
const instancesPerGroup = 3;
const enginesPerDomain = 4;
const engineCount = 8;

type FaultKind = 'kill' | 'pause' | 'cut' | 'domain-dark' | 'kill-with-watcher' | 'kill-in-outage';

const faultKinds: readonly FaultKind[] = [
  'kill',
  'pause',
  'cut',
  'domain-dark',
  'kill-with-watcher',
  'kill-in-outage',
];

const domainOf = (index: number) => Math.floor(index / enginesPerDomain);

const findEngine = (fleet: testing.Fleet, instanceId: string) =>
  fleet.engines.find((engine) => engine.instanceId === instanceId)!;

const isolate = (fleet: testing.Fleet, ip: string) => {
  fleet.proxy.updateLinkFault('*', ip, { isCut: true });
  fleet.proxy.updateLinkFault(ip, '*', { isCut: true });
};

/** Takes down a member of a group, and whatever else the kind of fault affects. */
const injectFault = async (
  fleet: testing.Fleet,
  kind: FaultKind,
  victimId: string,
  random: testing.Random,
): Promise<void> => {
  const victim = findEngine(fleet, victimId);
  switch (kind) {
    case 'kill':
      await victim.process().kill();
      break;
    case 'pause':
      victim.process().pause();
      break;
    case 'cut':
      isolate(fleet, victim.ip);
      break;
    case 'domain-dark': {
      const domain = domainOf(fleet.engines.indexOf(victim));
      fleet.engines
        .filter((_, index) => domainOf(index) === domain)
        .forEach(({ ip }) => isolate(fleet, ip));
      break;
    }
    case 'kill-with-watcher':
      await Promise.all([
        victim.process().kill(),
        random.pick(fleet.daemons.slice(1)).process().kill(),
      ]);
      break;
    case 'kill-in-outage':
      await fleet.platform.setFaults({ outage: 'refuse' });
      await victim.process().kill();
      break;
    default:
  }
};

const findLate = async (fleet: testing.Fleet, victim: StoredGroup, lostAtMs: number) => {
  const dispatches = (await readDispatches(fleet)).filter(
    ({ groupId, generation }) => groupId === victim.groupId && generation === victim.generation,
  );
  const lastMs = Math.max(0, ...dispatches.map(({ atMs }) => atMs - lostAtMs));
  const late = dispatches.filter(({ atMs }) => atMs - lostAtMs > stopWithinMs);
  return { lastMs, late, beforeCount: dispatches.filter(({ atMs }) => atMs < lostAtMs).length };
};

/** Injects one kind of loss and checks that dispatch to the group stops in time. */
export const prove: testing.Proof = async ({ seed, random, note }) => {
  const kind = faultKinds[seed % faultKinds.length]!;
  const fleet = await testing.createFleet({
    seed,
    daemonCount: 3,
    engines: {
      count: engineCount,
      options: { loadMs: 100, tokenMs: 2, fencing: 'checked' },
      fabricDomainOf: (index) => `fabric-${domainOf(index)}`,
      failureDomainIndexOf: domainOf,
    },
    configuration: testing.createTestConfiguration({
      groups: groupCount,
      instancesPerGroup,
      fencing: 'checked',
    }),
  });
  const violations: string[] = [];
  try {
    await fleet.waitUntilServing();
    const groups = await waitForGroups(fleet, testing.waitUntil, groupCount, formTimeoutMs);
    const callers = createCallers(fleet);
    await delay(loadBeforeMs);
    const group = random.pick(groups);
    const victimId = random.pick(group.memberIds);
    const startedAtMs = Date.now();
    await injectFault(fleet, kind, victimId, random);
    const lostAtMs = Date.now();
    note(`${kind} of ${victimId} in ${group.groupId} took ${lostAtMs - startedAtMs} ms`);
    await delay(observationMs);
    const { lastMs, late, beforeCount } = await findLate(fleet, group, lostAtMs);
    late.forEach(({ source, atMs }) =>
      violations.push(
        `${source} dispatched to ${group.groupId} ${atMs - lostAtMs} ms after the loss`,
      ),
    );
    if (beforeCount === 0)
      violations.push(`group ${group.groupId} received no request before the loss`);
    const completedBefore = callers.completedCount();
    if (kind === 'kill-in-outage') await fleet.platform.setFaults({ outage: 'none' });
    const canReform = kind !== 'domain-dark';
    if (canReform) await waitForGroups(fleet, testing.waitUntil, groupCount, reformTimeoutMs);
    const reformedMs = canReform ? Date.now() - lostAtMs : 0;
    await testing.waitUntil(
      () => callers.completedCount() > completedBefore,
      reformTimeoutMs,
      'a request to complete after the loss',
    );
    await callers.stop();
    fleet.daemons
      .filter(
        (daemon) => daemon.process().isRunning() && callers.cutOffCount(daemon.instanceId) > 0,
      )
      .forEach(({ instanceId }) => violations.push(`${instanceId} truncated an answer`));
    return { violations, figures: { lastDispatchMs: lastMs, mendedMs: reformedMs } };
  } finally {
    await fleet.stop();
  }
};
