import { setTimeout as delay } from 'node:timers/promises';
import type * as testing from '@comfreydrum/testing';
import type { StoredGroup } from '../missing-member/storedGroups';
import type { ServingSampler } from './createServingSampler';

/** The kind of fault that is injected during a change. */
export type FaultKind = 'none' | 'kill-controller' | 'kill-member' | 'outage' | 'lost-answers';

export const faultKinds: readonly FaultKind[] = [
  'none',
  'kill-controller',
  'kill-member',
  'outage',
  'lost-answers',
];

/** An injected fault and what it killed. */
export interface InjectedFault {
  readonly atMs: number;
  /** The daemon that was killed. */
  readonly daemonId?: string;
  /** The group whose member was killed. */
  readonly group?: StoredGroup;
}

const memberDownMs = 3_000;
const outageMs = 4_000;
const lostAnswerCount = 4;

const findController = async (fleet: testing.Fleet): Promise<testing.FleetDaemon> => {
  const objects = await fleet.platform.list('fabric-domain');
  const [last] = [...objects].sort((left, right) => right.version - left.version);
  const { writer } = last!.value as { readonly writer: string };
  return fleet.daemons.find(({ instanceId }) => writer.startsWith(`${instanceId}/`))!;
};

const killMember = async (
  fleet: testing.Fleet,
  random: testing.Random,
  serving: readonly StoredGroup[],
): Promise<StoredGroup> => {
  const group = random.pick(serving);
  const victimId = random.pick(group.memberIds);
  const victim = fleet.engines.find(({ instanceId }) => instanceId === victimId)!;
  await victim.process().kill();
  await delay(memberDownMs);
  await victim.start();
  return group;
};

/**
 * Injects one fault. An outage or a killed member is restored before this returns; a killed
 * controller stays down.
 */
export const injectFault = async (
  fleet: testing.Fleet,
  kind: FaultKind,
  random: testing.Random,
  sampler: Pick<ServingSampler, 'latest'>,
): Promise<InjectedFault> => {
  const atMs = Date.now();
  const injected = { atMs };
  switch (kind) {
    case 'kill-controller': {
      const daemon = await findController(fleet);
      await daemon.process().kill();
      return { ...injected, daemonId: daemon.instanceId };
    }
    case 'kill-member': {
      const serving = sampler.latest().filter(({ phase }) => phase === 'serving');
      return { ...injected, group: await killMember(fleet, random, serving) };
    }
    case 'outage':
      await fleet.platform.setFaults({ outage: random.pick(['refuse', 'hang']) });
      await delay(outageMs);
      await fleet.platform.setFaults({ outage: 'none' });
      return injected;
    case 'lost-answers':
      await fleet.platform.setFaults({
        loseAnswers: {
          count: lostAnswerCount,
          methods: ['PUT'],
          kinds: ['fabric-domain', 'weight-store'],
        },
      });
      return injected;
    default:
      return injected;
  }
};
