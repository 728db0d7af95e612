import * as clock from '@comfreydrum/clock';
import type * as configuration from '@comfreydrum/configuration';
import type * as peers from '@comfreydrum/peers';
import type * as objectStore from '@comfreydrum/object-store';
import * as telemetry from '@comfreydrum/telemetry';
import { createGroups, type Groups } from '../createGroups';
import { createFakeEngine, type FakeEngine } from './createFakeEngine';
import { createFakePlatform, type FakePlatform } from './createFakePlatform';
import { createTestDocument, type ModelChanges } from './createTestDocument';

/** The groups component of a daemon, with controls for a test. */
export interface TestDaemon {
  readonly instanceId: string;
  readonly groups: Groups;
  readonly timeline: telemetry.Timeline;
  /** Sets which daemons this one considers live. */
  readonly setPeers: (instanceIds: readonly string[]) => void;
  readonly stop: () => Promise<void>;
}

/** Daemons that run against fake engines and a fake platform. */
export interface TestFleet {
  readonly platform: FakePlatform;
  readonly engines: readonly FakeEngine[];
  readonly daemons: readonly TestDaemon[];
  /** Returns all messages published since the start. */
  readonly published: () => readonly peers.BusMessage[];
  /** Applies a changed model configuration on every daemon. */
  readonly setModel: (changes: ModelChanges) => void;
  readonly stop: () => Promise<void>;
}

/** The size of the fleet. */
export interface TestFleetOptions {
  readonly engineCount: number;
  readonly daemonCount: number;
  readonly groupCount: number;
  readonly instancesPerGroup: number;
  readonly checksFencing?: boolean;
  /** The number of fabric domains that the engines are spread over; 1 by default. */
  readonly fabricDomainCount?: number;
}

const waitStep = 'wait';

/** Waits until `condition` returns true; throws after `timeoutMs`. */
export const waitFor = async (
  what: string,
  condition: () => boolean,
  timeoutMs = 15_000,
): Promise<void> => {
  const system = clock.createSystemClock();
  const endMs = system.monotonicMs() + timeoutMs;
  while (!condition()) {
    if (system.monotonicMs() > endMs)
      throw new Error(`${waitStep}: timed out waiting until ${what}`);
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
};

const createMessageBus = () => {
  const system = clock.createSystemClock();
  const listeners = new Map<string, ((item: peers.BusMessage) => void)[]>();
  const published: peers.BusMessage[] = [];
  let sequence = 0;
  const connect = (origin: string): peers.MessageBus => ({
    publish: (topic, key, value, lifetimeMs) => {
      sequence += 1;
      const sentAtMs = system.monotonicMs();
      const item = { topic, key, origin, sequence, value: structuredClone(value) };
      published.push({ ...item, remainingMs: lifetimeMs });
      listeners.forEach((own) =>
        own.forEach((listener) =>
          setTimeout(() => {
            const remainingMs = lifetimeMs - (system.monotonicMs() - sentAtMs);
            listener({ ...item, remainingMs });
          }, 1),
        ),
      );
    },
    onMessage: (topic, listener) => {
      const own = listeners.get(origin) ?? [];
      const wanted = (item: peers.BusMessage) => item.topic === topic && listener(item);
      listeners.set(origin, [...own, wanted]);
      return () => listeners.delete(origin);
    },
    latest: () => [],
  });
  return { connect, published: () => published };
};

const failureDomains = ['a', 'b', 'c'];

const createTestDaemon = async (
  index: number,
  options: TestFleetOptions,
  current: () => configuration.Configuration,
  fakePlatform: objectStore.PlatformClient,
  connect: (origin: string) => peers.MessageBus,
): Promise<TestDaemon> => {
  const system = clock.createSystemClock();
  const instanceId = `entry-${index}`;
  const timeline = telemetry.createTimeline(instanceId, clock.createHybridClock(system));
  const memberOf = (name: string): peers.PeerMember => ({
    instanceId: name,
    address: '127.0.0.1:1',
    region: 'navarra',
    failureDomain: failureDomains[Number(name.split('-')[1]) % failureDomains.length]!,
    state: 'live',
    incarnation: '1',
  });
  let members = Array.from({ length: options.daemonCount }, (_, peer) => memberOf(`entry-${peer}`));
  const groups = createGroups({
    configuration: {
      current: () => [current()],
      revisions: () => ({}),
      onChange: () => () => {},
    },
    platform: fakePlatform,
    membership: {
      self: () => memberOf(instanceId),
      members: () => members,
      onChange: () => () => {},
      leave: () => {},
    },
    messageBus: connect(instanceId),
    calls: {
      call: () => Promise.reject(new Error('the test fleet does not support peer calls')),
      handle: () => {},
    },
    clock: system,
    log: telemetry.createLog({ level: 'silent', instanceId }),
    timeline,
    instanceId,
    failureDomain: memberOf(instanceId).failureDomain,
    region: 'navarra',
    random: () => 0.5,
  });
  await groups.component.start?.();
  return {
    instanceId,
    groups,
    timeline,
    setPeers: (names) => {
      members = names.map(memberOf);
    },
    stop: async () => groups.component.stop?.(),
  };
};

/** Starts fake engines, and daemons that control them. */
export const createTestFleet = async (options: TestFleetOptions): Promise<TestFleet> => {
  const fakePlatform = createFakePlatform();
  const checksFencing = options.checksFencing ?? true;
  const engines = await Promise.all(
    Array.from({ length: options.engineCount }, (_, index) =>
      createFakeEngine(`target-${index}`, checksFencing),
    ),
  );
  fakePlatform.setListed(
    engines.map(({ instanceId, url }, index) => ({
      instanceId,
      url,
      targetKind: 'engine',
      region: 'navarra',
      failureDomain: 'a',
      fabricDomain: `fabric-${1 + (index % (options.fabricDomainCount ?? 1))}`,
      acceleratorCount: 4,
      state: 'live',
    })),
  );
  let document = createTestDocument(options, {});
  const { connect, published } = createMessageBus();
  const daemons = await Promise.all(
    Array.from({ length: options.daemonCount }, (_, index) =>
      createTestDaemon(index, options, () => document, fakePlatform, connect),
    ),
  );
  return {
    platform: fakePlatform,
    engines,
    daemons,
    published,
    setModel: (changes) => {
      document = createTestDocument(options, changes);
    },
    stop: async () => {
      await Promise.all(daemons.map(({ stop }) => stop()));
      await Promise.all(engines.map(({ kill }) => kill()));
    },
  };
};
