import { uniformFloat32 } from 'pure-rand/distribution/uniformFloat32';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Trace, TraceEvent, TraceInstance } from './TraceEvent';

/** The size of a fleet and its failure rates per day, each for the whole fleet. */
export interface TraceOptions {
  readonly name: string;
  readonly seed: number;
  readonly days: number;
  readonly failureDomainCount: number;
  readonly fabricDomainsPerFailureDomain: number;
  readonly instanceCount: number;
  readonly acceleratorsPerInstance: number;
  readonly failuresPerDay: number;
  readonly restartsPerDay: number;
  readonly pausesPerDay: number;
  readonly rackFailuresPerDay: number;
  readonly domainFailuresPerDay: number;
  readonly flappingCount: number;
}

const secondMs = 1_000;
const minuteMs = 60 * secondMs;
const hourMs = 60 * minuteMs;
const dayMs = 24 * hourMs;
const maxRecoverySpreadMs = 2 * minuteMs;

interface Outage {
  readonly instanceId: string;
  readonly fromMs: number;
  readonly toMs: number;
  readonly keepsMemory: boolean;
}

const createInstances = (options: TraceOptions): readonly TraceInstance[] => {
  const domainCount = options.failureDomainCount * options.fabricDomainsPerFailureDomain;
  return Array.from({ length: options.instanceCount }, (_, index) => {
    const fabric = index % domainCount;
    const failureDomain = Math.floor(fabric / options.fabricDomainsPerFailureDomain);
    return {
      instanceId: `i${String(index).padStart(4, '0')}`,
      targetKind: 'engine',
      failureDomain: `zone-${failureDomain}`,
      fabricDomain: `fabric-${String(fabric).padStart(2, '0')}`,
      acceleratorCount: options.acceleratorsPerInstance,
    };
  });
};

/** Merges overlapping outages of one instance; memory is kept only if all of them keep it. */
const mergeOutages = (outages: readonly Outage[]): readonly Outage[] => {
  const sorted = [...outages].sort((left, right) => left.fromMs - right.fromMs);
  const merged: Outage[] = [];
  sorted.forEach((outage) => {
    const last = merged.at(-1);
    if (!last || last.toMs < outage.fromMs) {
      merged.push(outage);
      return;
    }
    merged[merged.length - 1] = {
      ...last,
      toMs: Math.max(last.toMs, outage.toMs),
      keepsMemory: last.keepsMemory && outage.keepsMemory,
    };
  });
  return merged;
};

const toEvents = ({ instanceId, fromMs, toMs, keepsMemory }: Outage): readonly TraceEvent[] => [
  { atMs: fromMs, instanceId, kind: 'down' },
  { atMs: toMs, instanceId, kind: keepsMemory ? 'resumed' : 'up' },
];

/**
 * Generates a trace of instance, rack and failure domain outages; the same seed generates the same
 * trace.
 */
export const createTrace = (options: TraceOptions): Trace => {
  const generator = xoroshiro128plus(options.seed);
  const uniform = () => uniformFloat32(generator);
  const between = (fromMs: number, toMs: number) => fromMs + uniform() * (toMs - fromMs);
  const exponential = (mean: number) => -mean * Math.log(1 - uniform());
  const pick = <Item>(items: readonly Item[]): Item =>
    items[uniformInt(generator, 0, items.length - 1)]!;
  const instances = createInstances(options);
  const durationMs = options.days * dayMs;
  const outages: Outage[] = [];

  const schedule = (perDay: number, onEvent: (atMs: number) => void) => {
    if (perDay <= 0) return;
    let atMs = exponential(dayMs / perDay);
    while (atMs < durationMs) {
      onEvent(atMs);
      atMs += exponential(dayMs / perDay);
    }
  };
  const addOutage = (instanceId: string, fromMs: number, outageMs: number, keepsMemory = false) =>
    outages.push({ instanceId, fromMs, toMs: fromMs + outageMs, keepsMemory });
  const addOutages = (affected: readonly TraceInstance[], fromMs: number, outageMs: number) =>
    affected.forEach(({ instanceId }) =>
      addOutage(instanceId, fromMs, outageMs + between(0, maxRecoverySpreadMs)),
    );

  schedule(options.failuresPerDay, (atMs) =>
    addOutage(pick(instances).instanceId, atMs, hourMs + exponential(8 * hourMs)),
  );
  schedule(options.restartsPerDay, (atMs) =>
    addOutage(pick(instances).instanceId, atMs, between(minuteMs, 10 * minuteMs)),
  );
  schedule(options.pausesPerDay, (atMs) =>
    addOutage(pick(instances).instanceId, atMs, between(3 * secondMs, 40 * secondMs), true),
  );
  schedule(options.rackFailuresPerDay, (atMs) => {
    const { fabricDomain } = pick(instances);
    const rack = instances.filter((instance) => instance.fabricDomain === fabricDomain);
    addOutages(rack, atMs, between(0.5 * hourMs, 3 * hourMs));
  });
  schedule(options.domainFailuresPerDay, (atMs) => {
    const { failureDomain } = pick(instances);
    const domain = instances.filter((instance) => instance.failureDomain === failureDomain);
    addOutages(domain, atMs, between(hourMs, 4 * hourMs));
  });
  Array.from({ length: options.flappingCount }, () => pick(instances)).forEach(({ instanceId }) => {
    const startMs = between(0, durationMs);
    const endMs = startMs + 12 * hourMs;
    for (let atMs = startMs; atMs < endMs; atMs += between(20 * minuteMs, 60 * minuteMs)) {
      addOutage(instanceId, atMs, between(minuteMs, 3 * minuteMs));
    }
  });

  const byInstance = new Map<string, Outage[]>();
  outages.forEach((outage) => {
    byInstance.set(outage.instanceId, [...(byInstance.get(outage.instanceId) ?? []), outage]);
  });
  const events = [...byInstance.values()]
    .flatMap((instanceOutages) => mergeOutages(instanceOutages).flatMap(toEvents))
    .filter(({ atMs }) => atMs < durationMs)
    .sort((left, right) => left.atMs - right.atMs);
  return { name: options.name, durationMs, instances, events };
};
