import type * as clock from '@comfreydrum/clock';
import type * as configuration from '@comfreydrum/configuration';
import * as errors from '@comfreydrum/errors';
import type * as objectStore from '@comfreydrum/object-store';
import type * as telemetry from '@comfreydrum/telemetry';
import { createDomainController } from './createDomainController';
import type { DecisionCache } from './createDecisionCache';
import type { KnownGroup } from './createDirectory';
import { createDomainOrders } from './createDomainOrders';
import type { GroupGeneration } from './createEvidenceStore';
import type { FleetView } from './createFleetView';
import { createDrainMonitor } from './createDrainMonitor';
import { createOrderSender } from './createOrderSender';
import { createOrderWindow } from './createOrderWindow';
import type { RecordCache } from './createRecordCache';
import type { ObservationLookup } from './evaluateGroup';
import { createLoadSlots } from './loads/createLoadSlots';
import { extendLoadTimes } from './loads/extendLoadTimes';

/** Runs the controller over the fabric domains that this daemon controls. */
export interface ControlLoop {
  /**
   * Advances every controlled fabric domain once. Failures are logged; the promise never rejects.
   */
  readonly step: () => Promise<void>;
  readonly close: () => Promise<void>;
}

/** Dependencies and settings of the control loop. */
export interface ControlLoopOptions {
  readonly clock: clock.Clock;
  readonly log: telemetry.Log;
  readonly timeline: telemetry.Timeline;
  readonly configuration: configuration.ConfigurationStore;
  readonly platform: objectStore.PlatformClient;
  readonly records: RecordCache;
  /** Identifies this run of the daemon. */
  readonly writer: string;
  readonly view: FleetView;
  readonly observe: ObservationLookup;
  readonly groups: () => readonly KnownGroup[];
  readonly actionsOf: DecisionCache['actionsOf'];
  readonly evidenceAgeMs: (group: GroupGeneration) => number;
  readonly evidenceWindowMs: number;
  /** Returns the fabric domains that this daemon currently controls. */
  readonly controlledDomains: () => readonly string[];
  readonly localAddress: string | undefined;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  readonly drainTimeoutMs: number;
}

const orderTimeoutMs = 2_000;
const orderWindowMs = 2_000;

/** Creates the control loop with its order sender, order windows, load slots and drain monitor. */
export const createControlLoop = (options: ControlLoopOptions): ControlLoop => {
  const { clock, log, timeline, records, writer, view, observe } = options;
  const { localAddress } = options;
  const orders = createOrderSender({
    clock,
    log,
    timeline,
    timeoutMs: orderTimeoutMs,
    localAddress,
  });
  const drainMonitor = createDrainMonitor(options.groups, orders);

  const orderWindow = createOrderWindow({
    clock,
    writer,
    windowMs: orderWindowMs,
    messageLifeMs: orderTimeoutMs,
  });

  const loadSlots = createLoadSlots({
    clock,
    log,
    platform: options.platform,
    configuration: options.configuration,
    records: () =>
      new Map([...records.all()].map(([fabricDomain, { record }]) => [fabricDomain, record])),
    random: options.random,
  });

  const domainOrders = createDomainOrders({
    configuration: options.configuration,
    listed: view.listed,
    observe,
    orders,
    window: orderWindow,
    mayLoad: loadSlots.mayLoad,
  });

  const controller = createDomainController({
    clock,
    log,
    timeline,
    records,
    writer,
    window: orderWindow,
    checksFencing: domainOrders.checksFencing,
    view: (fabricDomain, record) => ({
      observe,
      actions: options.actionsOf(fabricDomain),
      instances: new Map(view.listed().map((entry) => [entry.instanceId, entry])),
      models: extendLoadTimes(view.modelPlans(), options.configuration.current()),
      mayLoad: (groupId) => loadSlots.mayLoad(record, groupId),
      hasFreshEvidence: (groupId) => {
        const { generation } = record.groups[groupId]!;
        return options.evidenceAgeMs({ groupId, generation }) < options.evidenceWindowMs;
      },
      isIdle: drainMonitor.isIdle,
      drainTimeoutMs: options.drainTimeoutMs,
    }),
    claimLoads: loadSlots.claim,
    needsWindow: domainOrders.needsWindow,
    sendOrders: domainOrders.send,
  });

  const stepDomain = async (fabricDomain: string) => {
    try {
      await drainMonitor.poll(fabricDomain);
      await controller.step(fabricDomain);
    } catch (cause) {
      log.error({ step: 'control', peer: fabricDomain }, errors.describeCause(cause));
    }
  };

  return {
    step: async () => {
      await Promise.all(options.controlledDomains().map(stepDomain));
    },
    close: orders.close,
  };
};
