/**
 * No instance serves two groups at once, even if the controller that assigns instances to groups
 * fails.
 */
import { setTimeout as delay } from 'node:timers/promises';
import * as testing from '@comfreydrum/testing';
import { createCallers } from './missing-member/createCallers';
import { readGroups, waitForGroups } from './missing-member/storedGroups';
import { readDispatches } from './missing-member/readDispatches';
import {
  createMembershipSampler,
  type MembershipSampler,
} from './one-group/createMembershipSampler';
import { findStaleDispatches } from './one-group/findStaleDispatches';

type FaultKind = 'race' | 'paused-holder' | 'lost-answers' | 'late-orders';

const faultKinds: readonly FaultKind[] = ['race', 'paused-holder', 'lost-answers', 'late-orders'];
const groupCount = 2;
const instancesPerGroup = 3;
const engineCount = 7;
const formTimeoutMs = 20_000;
const settleTimeoutMs = 20_000;
const raceMs = 6_000;
const slowPlatformMs = 600;
const pauseMs = 9_000;
const takeoverLimitMs = 5_000;
const lateOrderMs = 5_000;
const lostAnswerCount = 3;

/** Returns the controller of the fabric domain: the daemon that wrote its object last. */
const findController = async (fleet: testing.Fleet): Promise<testing.FleetDaemon> => {
  const [object] = await fleet.platform.list('fabric-domain');
  const { writer } = object!.value as { readonly writer: string };
  return fleet.daemons.find(({ instanceId }) => writer.startsWith(`${instanceId}/`))!;
};

/**
 * Waits until a daemon other than `controller` has written the object, and returns how long that
 * took in milliseconds.
 */
const waitForTakeover = async (
  fleet: testing.Fleet,
  controller: testing.FleetDaemon,
): Promise<number> => {
  const startedAtMs = Date.now();
  const isTakenOver = async () =>
    (await findController(fleet)).instanceId !== controller.instanceId;
  await testing.waitUntil(isTakenOver, pauseMs, 'another daemon to take over as controller', 50);
  return Date.now() - startedAtMs;
};

const isolateDaemons = (fleet: testing.Fleet) =>
  fleet.daemons.forEach((daemon, index) =>
    fleet.daemons.slice(index + 1).forEach((other) => fleet.proxy.cutBetween(daemon.ip, other.ip)),
  );

/**
 * Kills a member and makes the controller fail. Returns how long a takeover took in milliseconds; 0
 * without one.
 */
const injectFault = async (
  fleet: testing.Fleet,
  kind: FaultKind,
  victim: testing.FleetTarget,
): Promise<number> => {
  const controller = await findController(fleet);
  let takenUpMs = 0;
  switch (kind) {
    case 'race':
      isolateDaemons(fleet);
      await delay(raceMs);
      await fleet.platform.setFaults({ delayMs: slowPlatformMs });
      await victim.process().kill();
      await delay(raceMs);
      await fleet.platform.setFaults({ delayMs: 0 });
      fleet.proxy.heal();
      break;
    case 'paused-holder':
      await victim.process().kill();
      controller.process().pause();
      takenUpMs = await waitForTakeover(fleet, controller);
      await delay(pauseMs - takenUpMs);
      controller.process().resume();
      break;
    case 'lost-answers':
      await fleet.platform.setFaults({
        loseAnswers: { count: lostAnswerCount, methods: ['PUT'], kinds: ['fabric-domain'] },
      });
      await victim.process().kill();
      break;
    case 'late-orders':
      fleet.engines.forEach(({ ip }) =>
        fleet.proxy.updateLinkFault(controller.ip, ip, { delayMs: lateOrderMs }),
      );
      await victim.process().kill();
      await delay(pauseMs);
      fleet.proxy.heal();
      break;
    default:
  }
  return takenUpMs;
};

const findMismatches = async (fleet: testing.Fleet): Promise<readonly string[]> => {
  const groups = await readGroups(fleet);
  const members = groups.flatMap((group) =>
    group.memberIds.map((instanceId) => ({ group, instanceId })),
  );
  const mismatches = await Promise.all(
    members.map(async ({ group, instanceId }) => {
      const engine = fleet.engines.find((target) => target.instanceId === instanceId)!;
      const { groupId, generation } = await engine.presence();
      const isSame = groupId === group.groupId && generation === group.generation;
      return isSame
        ? []
        : [`${instanceId} has loaded ${groupId}@${generation}, not ${group.groupId}`];
    }),
  );
  return mismatches.flat();
};

const waitForAgreement = (fleet: testing.Fleet) =>
  testing.waitUntil(
    async () => {
      const groups = await readGroups(fleet);
      const serving = groups.filter(({ phase }) => phase === 'serving');
      const mismatches = await findMismatches(fleet).catch(() => ['unreachable']);
      return serving.length === groupCount && mismatches.length === 0;
    },
    settleTimeoutMs,
    'groups and engines to agree on membership',
    200,
  );

const findDoubleAssignments = (sampler: MembershipSampler): readonly string[] => {
  const members = sampler
    .groups()
    .flatMap(({ groupId, generation, memberIds }) =>
      memberIds.map((instanceId) => ({ groupId, generation, instanceId })),
    );
  return members
    .filter(({ groupId, generation, instanceId }) =>
      members.some(
        (other) =>
          other.instanceId === instanceId &&
          other.groupId !== groupId &&
          other.generation === generation,
      ),
    )
    .map(
      ({ instanceId, generation }) => `${instanceId} is in two groups at generation ${generation}`,
    );
};

/** Injects one kind of controller failure and checks group membership and dispatches. */
export const prove: testing.Proof = async ({ seed, random, note }) => {
  const kind = faultKinds[seed % faultKinds.length]!;
  const fencing = kind === 'late-orders' || seed % 8 >= 4 ? 'ignored' : 'checked';
  const fleet = await testing.createFleet({
    seed,
    daemonCount: 3,
    engines: { count: engineCount, options: { loadMs: 100, tokenMs: 2, fencing } },
    configuration: testing.createTestConfiguration({
      groups: groupCount,
      instancesPerGroup,
      fencing,
    }),
  });
  try {
    await fleet.waitUntilServing();
    const groups = await waitForGroups(fleet, testing.waitUntil, groupCount, formTimeoutMs);
    const sampler = createMembershipSampler(fleet);
    const callers = createCallers(fleet);
    const victimId = random.pick(random.pick(groups).memberIds);
    const victim = fleet.engines.find(({ instanceId }) => instanceId === victimId)!;
    note(`${kind} with fencing ${fencing}, ${victimId} is killed`);
    const startedAtMs = Date.now();
    const takenUpMs = await injectFault(fleet, kind, victim);
    await waitForAgreement(fleet);
    const settledMs = Date.now() - startedAtMs;
    await Promise.all([sampler.stop(), callers.stop()]);
    const dispatches = await readDispatches(fleet);
    const staleDispatches = findStaleDispatches(
      dispatches,
      sampler.groups(),
      sampler.loadedSamples(),
    );
    const late =
      takenUpMs > takeoverLimitMs
        ? [`another daemon took over as controller only after ${takenUpMs} ms`]
        : [];
    const { conflicts } = await fleet.platform.counts();
    return {
      violations: [...staleDispatches, ...findDoubleAssignments(sampler), ...late],
      figures: { settledMs, takenUpMs, conflicts, dispatches: dispatches.length },
    };
  } finally {
    await fleet.stop();
  }
};
