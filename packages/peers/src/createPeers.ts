import * as hdr from 'hdr-histogram-js';
import createHasher from 'xxhash-wasm';
import type { ReceivedBeacon } from './Beacon';
import { createSenderCodec } from './createSenderCodec';
import { createAntiEntropy } from './createAntiEntropy';
import { createDatagramCalls } from './createDatagramCalls';
import { createDatagramPort, encodedSizeBytes } from './createDatagramPort';
import { createHttpPeerCalls } from './createHttpPeerCalls';
import { createJoin } from './createJoin';
import { createListeners } from './createListeners';
import { createMembership } from './createMembership';
import { createMessageSigner } from './createMessageSigner';
import { createPeerState, maxMessageBytes } from './createPeerState';
import { createProber } from './createProber';
import { createSchedule } from './createSchedule';
import type { MessageBus } from './MessageBus';
import type { Peers, PeersOptions } from './Peers';
import { createPeerCounters } from './PeerStatistics';
import { shuffle } from './shuffle';

const defaultFleet = 'default';
const fanout = 3;
const flushDelayMs = 10;
const sweepIntervalMs = 250;
/** A sweep that runs later than scheduled by more than this indicates that the process was paused. */
const pauseThresholdMs = 500;
const deadProbeIntervals = 5;
const leavePropagationMs = 50;
const statisticsMethod = 'peers.statistics';

/** Creates the peers of one daemon; they listen after `part` has started. */
export const createPeers = async (options: PeersOptions): Promise<Peers> => {
  const { settings, log, random } = options;
  const fleet = options.fleet ?? defaultFleet;
  const hasher = await createHasher();
  const counters = createPeerCounters();
  const roundTrip = hdr.build({ useWebAssembly: false, numberOfSignificantValueDigits: 2 });
  const schedule = createSchedule(random, (cause) => log.error({ err: cause }, 'peer task failed'));
  const state = createPeerState(options, fleet);
  const nowMs = () => options.clock.monotonicMs();
  const beaconListeners = createListeners<ReceivedBeacon>((cause) =>
    log.error({ err: cause }, 'beacon listener failed'),
  );
  let beaconProvider: () => unknown = () => null;

  const senderCodec = createSenderCodec(state.table, hasher.h32);
  const signer = createMessageSigner(settings.tokens ?? []);
  const port = createDatagramPort(settings.listen, counters, signer);
  const datagrams = createDatagramCalls({
    fleet,
    counters,
    indirectProbeTimeoutMs: settings.probeTimeoutMs,
    send: port.send,
    compose: (instanceId) =>
      state.compose(instanceId, senderCodec.encode(instanceId), beaconProvider()),
    accept: state.accept,
    senderCodec,
  });
  const calls = createHttpPeerCalls({
    selfId: options.instanceId,
    fleet,
    listen: settings.listen,
    localAddress: settings.localAddress,
    signer,
    counters,
    currentTime: options.hybridClock.tick,
    receiveTime: options.hybridClock.receive,
  });
  const prober = createProber({
    table: state.table,
    calls: datagrams,
    counters,
    intervalMs: settings.probeIntervalMs,
    timeoutMs: settings.probeTimeoutMs,
    monotonicMs: nowMs,
    random,
    onResponse: (envelope, probeSentAtMs) => {
      roundTrip.recordValue(Math.max(1, Math.round((nowMs() - probeSentAtMs) * 1_000)));
      const [instanceId, address] = envelope[1];
      beaconListeners.call({ value: envelope[5], instanceId, address, probeSentAtMs });
    },
  });
  const antiEntropy = createAntiEntropy({ state, calls, hasher, schedule, nowMs, random });
  const join = createJoin({ options, state, datagrams, antiEntropy, schedule });

  let flushScheduled = false;
  const flush = () => {
    flushScheduled = false;
    shuffle(state.liveOthers(), random)
      .slice(0, fanout)
      .filter(() => state.hasPending())
      .forEach(({ address, instanceId }) => datagrams.sendGossip(address, instanceId));
  };
  state.onPending.add(() => {
    if (flushScheduled) return;
    flushScheduled = true;
    schedule.after(flushDelayMs, flush);
  });

  let sweepDueMs = 0;
  const sweep = () => {
    const lateMs = nowMs() - sweepDueMs;
    if (lateMs > pauseThresholdMs) state.table.postponeDeadlines(lateMs);
    sweepDueMs = nowMs() + sweepIntervalMs;
    state.table.sweep(nowMs());
    state.store.sweep(nowMs());
  };

  const membership = createMembership(state, options);

  const messageBus: MessageBus = {
    publish: (topic, key, value, lifetimeMs) => {
      const sizeBytes = encodedSizeBytes([key, options.instanceId, value]);
      if (sizeBytes > maxMessageBytes) {
        throw new RangeError(
          `message "${key}" of topic ${topic} is ${sizeBytes} bytes, limit ${maxMessageBytes} bytes`,
        );
      }
      state.store.publish(topic, key, value, lifetimeMs, nowMs());
    },
    onMessage: (topic, listener) =>
      state.onMessage.add((record) => {
        if (record.topic === topic) listener(record);
      }),
    latest: (topic) => state.store.latest(topic, nowMs()),
  };

  const statistics = () => ({
    ...counters.read(),
    memberCount: state.liveOthers().length + 1,
    newsCount: state.store.records(nowMs()).length,
    roundTripP50Ms: roundTrip.getValueAtPercentile(50) / 1_000,
    roundTripP99Ms: roundTrip.getValueAtPercentile(99) / 1_000,
  });
  calls.handle(statisticsMethod, async () => statistics());

  return {
    membership,
    messageBus,
    calls,
    beacon: {
      setProvider: (supply) => {
        beaconProvider = supply;
      },
      onBeacon: beaconListeners.add,
    },
    component: {
      name: 'peers',
      start: async () => {
        await port.open(datagrams.receive);
        await calls.open();
        sweepDueMs = nowMs() + sweepIntervalMs;
        schedule.every(() => sweepIntervalMs, sweep);
        schedule.every(() => settings.probeIntervalMs, prober.probeNext);
        schedule.every(() => settings.probeIntervalMs * deadProbeIntervals, prober.probeDead);
        antiEntropy.start();
        join.start();
      },
      stop: async () => {
        membership.leave();
        flush();
        await join.withdraw();
        await new Promise((resolve) => {
          setTimeout(resolve, leavePropagationMs);
        });
        schedule.stop();
        datagrams.stop();
        await port.close();
        await calls.close();
      },
    },
    statistics,
  };
};
