import type * as clock from '@comfreydrum/clock';
import type * as configuration from '@comfreydrum/configuration';
import * as errors from '@comfreydrum/errors';
import type * as objectStore from '@comfreydrum/object-store';
import type * as telemetry from '@comfreydrum/telemetry';
import { createController } from './createController';
import type { Decisions } from './createDecisions';
import type { KnownGroup } from './createDirectory';
import { createDomainOrders } from './createDomainOrders';
import type { GroupAt } from './createEvidence';
import type { FleetView } from './createFleetView';
import { createIdleReader } from './createIdleReader';
import { createOrders } from './createOrders';
import { createOrderWindow } from './createOrderWindow';
import type { Records } from './createRecords';
import type { Observe } from './judgeGroup';
import { createLoadSlots } from './loads/createLoadSlots';
import { stretchLoadTimes } from './loads/stretchLoadTimes';

/** Runs the controller over the fabric domains that this daemon controls. */
export interface Control {
  /**
   * Advances every controlled fabric domain once. Failures are logged; the promise never rejects.
   */
  readonly step: () => Promise<void>;
  readonly close: () => Promise<void>;
}

/** Dependencies and settings of the control loop. */
export interface ControlOptions {
  readonly clock: clock.Clock;
  readonly log: telemetry.Log;
  readonly timeline: telemetry.Timeline;
  readonly configuration: configuration.ConfigurationStore;
  readonly platform: objectStore.PlatformClient;
  readonly records: Records;
  /** Identifies this run of the daemon. */
  readonly writer: string;
  readonly view: FleetView;
  readonly observe: Observe;
  readonly groups: () => readonly KnownGroup[];
  readonly actionsOf: Decisions['actionsOf'];
  readonly evidenceAgeMs: (group: GroupAt) => number;
  readonly evidenceWindowMs: number;
  /** Returns the fabric domains that this daemon currently controls. */
  readonly controlled: () => readonly string[];
  readonly localAddress: string | undefined;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  readonly drainTimeoutMs: number;
}

const orderTimeoutMs = 2_000;
const orderWindowMs = 2_000;

/** Creates the control loop with its order sender, order windows, load slots and drain monitor. */
export const createControl = (options: ControlOptions): Control => {
  const { clock, log, timeline, records, writer, view, observe } = options;
  const { localAddress } = options;
  const orders = createOrders({ clock, log, timeline, timeoutMs: orderTimeoutMs, localAddress });
  const idleReader = createIdleReader(options.groups, orders);

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

  const controller = createController({
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
      models: stretchLoadTimes(view.modelPlans(), options.configuration.current()),
      mayLoad: (groupId) => loadSlots.mayLoad(record, groupId),
      isFresh: (groupId) => {
        const { generation } = record.groups[groupId]!;
        return options.evidenceAgeMs({ groupId, generation }) < options.evidenceWindowMs;
      },
      isIdle: idleReader.isIdle,
      drainTimeoutMs: options.drainTimeoutMs,
    }),
    claimLoads: loadSlots.claim,
    needsWindow: domainOrders.needsWindow,
    order: domainOrders.send,
  });

  const stepDomain = async (fabricDomain: string) => {
    try {
      await idleReader.read(fabricDomain);
      await controller.step(fabricDomain);
    } catch (cause) {
      log.error({ step: 'control', peer: fabricDomain }, errors.describeCause(cause));
    }
  };

  return {
    step: async () => {
      await Promise.all(options.controlled().map(stepDomain));
    },
    close: orders.close,
  };
};
