import type * as peers from '@comfreydrum/peers';
import * as zod from 'zod';
import type { GrantRegistry } from './createGrantRegistry';
import type { HolderStatus } from './chooseHolderAction';
import { entrySchema, type Holder } from './LedgerEntry';

/** Queries the holders of claims. */
export interface HolderClient {
  readonly self: () => Holder;
  readonly queryStatus: (holder: Holder, claimId: string) => Promise<HolderStatus>;
  readonly isGone: (holder: Holder) => boolean;
}

export interface HolderClientOptions {
  readonly calls: peers.PeerCalls;
  readonly membership: peers.Membership;
  readonly registry: GrantRegistry;
  readonly askTimeoutMs: number;
}

const askMethod = 'ledger.ask';

const paramsSchema = zod.object({ claimId: zod.string(), incarnation: zod.string() });

const answerSchema = zod.discriminatedUnion('kind', [
  zod.object({ kind: zod.literal('running') }),
  zod.object({ kind: zod.literal('never') }),
  zod.object({ kind: zod.literal('ran'), answer: entrySchema.options[2].shape.answer }),
  zod.object({ kind: zod.literal('unknown') }),
  zod.object({ kind: zod.literal('gone') }),
]);

/** Creates the client and registers the peer method with which other daemons query this one. */
export const createHolderClient = (options: HolderClientOptions): HolderClient => {
  const { calls, membership, registry } = options;

  const self = (): Holder => {
    const { instanceId, incarnation } = membership.self();
    return { instanceId, incarnation };
  };

  const localStatus = (claimId: string, incarnation: string): HolderStatus =>
    incarnation === self().incarnation ? registry.holderResponse(claimId) : { kind: 'gone' };

  calls.handle(askMethod, (params) => {
    const { claimId, incarnation } = paramsSchema.parse(params);
    return Promise.resolve(localStatus(claimId, incarnation));
  });

  const findMember = (holder: Holder) =>
    membership
      .members()
      .find(
        ({ instanceId, incarnation, state }) =>
          instanceId === holder.instanceId &&
          incarnation === holder.incarnation &&
          state !== 'dead',
      );

  const queryMember = async (address: string, params: unknown): Promise<HolderStatus> => {
    const result = await calls.call(address, askMethod, params, options.askTimeoutMs);
    const parsed = answerSchema.safeParse(result.ok ? result.value : undefined);
    return parsed.success ? parsed.data : { kind: 'silent' };
  };

  const isSelf = (holder: Holder): boolean => holder.instanceId === self().instanceId;

  return {
    self,
    queryStatus: async (holder, claimId) => {
      const { incarnation } = holder;
      if (isSelf(holder)) return localStatus(claimId, incarnation);
      const member = findMember(holder);
      if (!member) return { kind: 'gone' };
      return queryMember(member.address, { claimId, incarnation });
    },
    isGone: (holder) =>
      isSelf(holder) ? holder.incarnation !== self().incarnation : findMember(holder) === undefined,
  };
};
