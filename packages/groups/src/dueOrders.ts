import { membersOf, type FabricDomainRecord } from './FabricDomainRecord';
import type { ObservationLookup } from './evaluateGroup';

/** An order to one target to load or to release a group. */
export interface Order {
  readonly instanceId: string;
  readonly url: string;
  readonly targetKind: string;
  readonly body:
    | { readonly order: 'release'; readonly groupId: string; readonly generation: number }
    | {
        readonly order: 'load';
        readonly groupId: string;
        readonly generation: number;
        readonly model: string;
        readonly version: string;
        readonly adapters: readonly string[];
        readonly rank: number;
        readonly members: readonly { readonly instanceId: string; readonly url: string }[];
        readonly leaderUrl: string;
      };
}

/** An instance of a fabric domain that accepts orders. */
export interface OrderTarget {
  readonly instanceId: string;
  readonly url: string;
  readonly targetKind: string;
}

const loadOrders = (
  record: FabricDomainRecord,
  groupId: string,
  observe: ObservationLookup,
): readonly Order[] => {
  const group = record.groups[groupId]!;
  const members = membersOf(record, groupId);
  const hasAccepted = (instanceId: string) => {
    const answer = observe(instanceId)?.response;
    const isSame = answer?.groupId === groupId && answer.generation === group.generation;
    return isSame && answer.phase !== 'empty';
  };
  return members
    .filter(({ instanceId }) => !hasAccepted(instanceId))
    .map(({ instanceId, url, rank }) => ({
      instanceId,
      url,
      targetKind: group.targetKind,
      body: {
        order: 'load',
        groupId,
        generation: group.generation,
        model: group.modelName,
        version: group.modelVersion,
        adapters: group.adapters,
        rank,
        members: members.map((member) => ({ instanceId: member.instanceId, url: member.url })),
        leaderUrl: members[0]!.url,
      },
    }));
};

const releaseOrder = (
  record: FabricDomainRecord,
  { instanceId, url, targetKind }: OrderTarget,
  observe: ObservationLookup,
): readonly Order[] => {
  const groupId = observe(instanceId)?.response?.groupId;
  if (!groupId || record.assignments[instanceId] !== undefined) return [];
  const body = { order: 'release', groupId, generation: record.generation } as const;
  return [{ instanceId, url, targetKind, body }];
};

/** Returns the orders that the presence responses of the targets do not yet show as applied. */
export const dueOrders = (
  record: FabricDomainRecord,
  targets: readonly OrderTarget[],
  observe: ObservationLookup,
): readonly Order[] => {
  const loads = Object.entries(record.groups)
    .filter(([, { phase }]) => phase === 'loading')
    .flatMap(([groupId]) => loadOrders(record, groupId, observe));
  return [...loads, ...targets.flatMap((target) => releaseOrder(record, target, observe))];
};
