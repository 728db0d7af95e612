import type * as clock from '@comfreydrum/clock';
import type * as telemetry from '@comfreydrum/telemetry';
import { advanceDomain, type DomainView } from './advanceDomain';
import type { RecordCache, VersionedRecord } from './createRecordCache';
import type { FabricDomainRecord } from './FabricDomainRecord';
import type { OrderWindow } from './createOrderWindow';

/** Advances the records of the fabric domains that this daemon controls. */
export interface DomainController {
  /**
   * Writes the next record of a domain, if it changes, and sends the orders that are due. Returns
   * without effect while another call for the domain is running.
   */
  readonly step: (fabricDomain: string) => Promise<void>;
}

/** Dependencies of the controller. */
export interface DomainControllerOptions {
  readonly clock: clock.Clock;
  readonly log: telemetry.Log;
  readonly timeline: telemetry.Timeline;
  readonly records: RecordCache;
  readonly writer: string;
  readonly window: OrderWindow;
  readonly view: (
    fabricDomain: string,
    record: FabricDomainRecord,
  ) => Omit<DomainView, 'fabricDomain' | 'nowMs' | 'record' | 'phaseSinceMs' | 'mayOrder'>;
  /** Whether targets of this kind reject orders with an old generation. */
  readonly checksFencing: (targetKind: string) => boolean;
  /** Sends the orders that are due for this record. */
  readonly sendOrders: (fabricDomain: string, record: FabricDomainRecord) => void;
  /** Claims weight store load slots for planned groups. */
  readonly claimLoads: (fabricDomain: string) => Promise<void>;
  /**
   * Whether the record requires orders to targets that ignore fencing, which need an order window.
   */
  readonly needsWindow: (fabricDomain: string, record: FabricDomainRecord) => boolean;
}

/** Creates the controller of the fabric domains. */
export const createDomainController = (options: DomainControllerOptions): DomainController => {
  const { clock, records, window, writer } = options;
  const stepping = new Set<string>();
  const needsRefresh = new Set<string>();
  const phases = new Map<string, { readonly key: string; readonly sinceMs: number }>();
  let writeCount = 0;

  const phaseSinceMs = (record: FabricDomainRecord) => (groupId: string) => {
    const group = record.groups[groupId]!;
    const key = `${group.phase}@${group.generation}`;
    if (phases.get(groupId)?.key !== key) {
      phases.set(groupId, { key, sinceMs: clock.monotonicMs() });
    }
    return phases.get(groupId)!.sinceMs;
  };

  const recordTransitions = (before: FabricDomainRecord, after: FabricDomainRecord) => {
    Object.entries(after.groups)
      .filter(([groupId, group]) => before.groups[groupId] !== group)
      .forEach(([groupId, { phase, generation }]) =>
        options.timeline.record('group step', { groupId, generation, outcome: phase }),
      );
    Object.entries(before.groups)
      .filter(([groupId]) => after.groups[groupId] === undefined)
      .forEach(([groupId, { generation }]) => {
        phases.delete(groupId);
        options.timeline.record('group step', { groupId, generation, outcome: 'released' });
      });
  };

  const write = async (
    fabricDomain: string,
    basis: VersionedRecord,
    changed: FabricDomainRecord,
  ) => {
    writeCount += 1;
    const next = { ...changed, writer, writeId: `${writer}/${writeCount}` };
    const startedAtMs = clock.monotonicMs();
    const outcome = await records.write(fabricDomain, basis, next);
    if (outcome === 'written') {
      window.recordWrite(fabricDomain, basis.record.writer, startedAtMs);
      recordTransitions(basis.record, next);
      return;
    }
    options.log.info({ step: 'write fabric domain', peer: fabricDomain, outcome });
    window.discard(fabricDomain);
    needsRefresh.add(fabricDomain);
  };

  const computeNext = (
    fabricDomain: string,
    basis: VersionedRecord,
  ): FabricDomainRecord | undefined => {
    const { record } = basis;
    const isWindowOpen = window.isOpen(fabricDomain, record.writer);
    const changed = advanceDomain({
      ...options.view(fabricDomain, record),
      fabricDomain,
      nowMs: clock.monotonicMs(),
      record,
      phaseSinceMs: phaseSinceMs(record),
      mayOrder: (targetKind) => options.checksFencing(targetKind) || isWindowOpen,
    });
    if (changed) return changed;
    const renews = !isWindowOpen && options.needsWindow(fabricDomain, record);
    return renews && window.mayRenew(fabricDomain, record.writer) ? record : undefined;
  };

  const stepOnce = async (fabricDomain: string) => {
    if (needsRefresh.has(fabricDomain)) {
      if (!(await records.refresh(fabricDomain))) return;
      needsRefresh.delete(fabricDomain);
    }
    await options.claimLoads(fabricDomain);
    const basis = records.get(fabricDomain);
    const changed = computeNext(fabricDomain, basis);
    if (changed) await write(fabricDomain, basis, changed);
    if (!needsRefresh.has(fabricDomain))
      options.sendOrders(fabricDomain, records.get(fabricDomain).record);
  };

  return {
    step: async (fabricDomain) => {
      if (stepping.has(fabricDomain) || !records.isLoaded()) return;
      stepping.add(fabricDomain);
      try {
        await stepOnce(fabricDomain);
      } finally {
        stepping.delete(fabricDomain);
      }
    },
  };
};
