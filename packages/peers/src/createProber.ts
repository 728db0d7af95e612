import type { DatagramCalls } from './createDatagramCalls';
import type { MemberTable } from './createMemberTable';
import type { ResolvedEnvelope } from './Envelope';
import type { MemberRecord } from './MemberRecord';
import type { PeerCounters } from './PeerStatistics';
import { shuffle } from './shuffle';

/** Detects unresponsive members; the caller triggers one probe per interval. */
export interface Prober {
  /** Probes the next member; resolves after it responded or its failure was handled. */
  readonly probeNext: () => Promise<void>;
  /** Probes a random dead member, to detect that a network partition has healed. */
  readonly probeDead: () => Promise<void>;
}

/** Options of `createProber`. */
export interface ProberOptions {
  readonly table: MemberTable;
  readonly calls: DatagramCalls;
  readonly counters: PeerCounters;
  readonly intervalMs: number;
  readonly timeoutMs: number;
  readonly monotonicMs: () => number;
  readonly random: () => number;
  /** Called with each response to a direct probe and the time at which the probe was sent. */
  readonly onResponse: (envelope: ResolvedEnvelope, probeSentAtMs: number) => void;
}

const indirectProbeCount = 3;
/**
 * After this many consecutive failed probes, this daemon assumes that its own network is at fault and
 * no longer disseminates its suspicions.
 */
const localFaultThreshold = 3;
/**
 * A failed probe that exceeds its timeouts by more than this is ignored, because the process was
 * paused.
 */
const pauseThresholdMs = 500;

/** Creates a prober that visits the members in random order. */
export const createProber = (options: ProberOptions): Prober => {
  const { table, calls, counters } = options;
  let order: readonly string[] = [];
  let consecutiveFailures = 0;

  const others = () =>
    table
      .records()
      .filter(
        ({ instanceId, state }) => instanceId !== table.self().instanceId && state !== 'dead',
      );

  const next = (): MemberRecord | undefined => {
    while (order.length > 0) {
      const record = table.find(order[0]!);
      order = order.slice(1);
      if (record && record.state !== 'dead') return record;
    }
    order = shuffle(
      others().map(({ instanceId }) => instanceId),
      options.random,
    );
    const [first, ...rest] = order;
    order = rest;
    return first === undefined ? undefined : table.find(first);
  };

  const pingDirectly = async (target: MemberRecord) => {
    const probeSentAtMs = options.monotonicMs();
    counters.add('probesSent');
    const answer = await calls.ping(target.address, target.instanceId, options.timeoutMs);
    if (answer) options.onResponse(answer, probeSentAtMs);
    return answer !== undefined;
  };

  const pingIndirectly = async (target: MemberRecord) => {
    const candidates = others().filter(
      ({ instanceId, state }) => instanceId !== target.instanceId && state === 'live',
    );
    const relays = shuffle(candidates, options.random).slice(0, indirectProbeCount);
    const timeoutMs = Math.max(options.timeoutMs, options.intervalMs - options.timeoutMs);
    const answers = await Promise.all(
      relays.map(({ address }) => calls.pingIndirectly(address, target.address, timeoutMs)),
    );
    return answers.includes(true);
  };

  return {
    probeNext: async () => {
      const target = next();
      if (!target) return;
      const startedAtMs = options.monotonicMs();
      const answered = (await pingDirectly(target)) || (await pingIndirectly(target));
      const nowMs = options.monotonicMs();
      if (answered) {
        consecutiveFailures = 0;
        table.extendSuspicion(target.instanceId, nowMs);
        return;
      }
      counters.add('probesFailed');
      consecutiveFailures += 1;
      const maxProbeMs = options.timeoutMs + Math.max(options.timeoutMs, options.intervalMs);
      if (nowMs - startedAtMs > maxProbeMs + pauseThresholdMs) return;
      table.suspect(target.instanceId, nowMs, consecutiveFailures < localFaultThreshold);
    },
    probeDead: async () => {
      const dead = table.records().filter(({ state }) => state === 'dead');
      const [target] = shuffle(dead, options.random);
      if (target) await pingDirectly(target);
    },
  };
};
