import type * as configuration from '@comfreydrum/configuration';
import type * as objectStore from '@comfreydrum/object-store';
import type { OrderSender } from './createOrderSender';
import type { OrderWindow } from './createOrderWindow';
import { dueOrders, type Order } from './dueOrders';
import type { FabricDomainRecord } from './FabricDomainRecord';
import type { ObservationLookup } from './evaluateGroup';

/** Derives the orders of a fabric domain from its record and sends them. */
export interface DomainOrders {
  /** Whether targets of this kind reject orders with an old generation. */
  readonly checksFencing: (targetKind: string) => boolean;
  /**
   * Whether the record requires orders to targets that ignore fencing, which need an order window.
   */
  readonly needsWindow: (fabricDomain: string, record: FabricDomainRecord) => boolean;
  /** Sends the due orders that are allowed now. */
  readonly send: (fabricDomain: string, record: FabricDomainRecord) => void;
}

/** Dependencies of the domain orders. */
export interface DomainOrdersOptions {
  readonly configuration: configuration.ConfigurationStore;
  readonly listed: () => readonly objectStore.ListedInstance[];
  readonly observe: ObservationLookup;
  readonly orders: OrderSender;
  readonly window: OrderWindow;
  /** Whether the weight store has a free load slot for a planned group. */
  readonly mayLoad: (record: FabricDomainRecord, groupId: string) => boolean;
}

/** Creates the order logic shared by all fabric domains. */
export const createDomainOrders = (options: DomainOrdersOptions): DomainOrders => {
  const targetKinds = () =>
    options.configuration.current().flatMap((document) => document.targetKinds);

  const checksFencing = (targetKind: string): boolean =>
    targetKinds().some(({ name, fencing }) => name === targetKind && fencing === 'checked');

  const due = (fabricDomain: string, record: FabricDomainRecord): readonly Order[] => {
    const engineKinds = new Set(
      targetKinds()
        .filter(({ protocol }) => protocol === 'engine')
        .map(({ name }) => name),
    );
    const targets = options
      .listed()
      .filter((entry) => entry.fabricDomain === fabricDomain && engineKinds.has(entry.targetKind));
    return dueOrders(record, targets, options.observe);
  };

  const isPlannedWithoutFencing = (record: FabricDomainRecord): boolean =>
    Object.entries(record.groups).some(
      ([groupId, { phase, targetKind }]) =>
        phase === 'planned' && !checksFencing(targetKind) && options.mayLoad(record, groupId),
    );

  return {
    checksFencing,
    needsWindow: (fabricDomain, record) =>
      isPlannedWithoutFencing(record) ||
      due(fabricDomain, record).some(({ targetKind }) => !checksFencing(targetKind)),
    send: (fabricDomain, record) =>
      options.orders.send(
        due(fabricDomain, record),
        ({ targetKind }) =>
          checksFencing(targetKind) || options.window.isOpen(fabricDomain, record.writer),
      ),
  };
};
