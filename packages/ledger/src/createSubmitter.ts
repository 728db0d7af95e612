import type * as clock from '@comfreydrum/clock';
import type * as peers from '@comfreydrum/peers';
import * as zod from 'zod';
import type { OwnerRanking } from './createOwnerRanking';
import type { PartitionWriter } from './createPartitionWriter';
import {
  operationResultSchema,
  operationSchema,
  type LedgerOperation,
  type OperationResult,
} from './LedgerOperation';

/** Submits operations to the writer of their partition, on this daemon or another one. */
export interface Submitter {
  /**
   * Submits an operation. `isStillNeeded` returns false once the caller no longer needs the result; the
   * operation is then not forwarded and may be skipped.
   */
  readonly submit: (
    partition: number,
    operation: LedgerOperation,
    isStillNeeded: () => boolean,
  ) => Promise<OperationResult>;
}

export interface SubmitterOptions {
  readonly calls: peers.PeerCalls;
  readonly membership: peers.Membership;
  readonly clockSource: clock.Clock;
  readonly ownerRanking: () => OwnerRanking;
  readonly writerOf: (partition: number) => PartitionWriter;
  readonly forwardTimeoutMs: number;
  readonly onForward: (outcome: 'answered' | 'failed') => void;
}

const submitMethod = 'ledger.submit';
const maxRemoteAttempts = 2;
/** How long no operation is sent to an owner after a call to it failed. */
const ownerBackoffMs = 3_000;

const paramsSchema = zod.object({
  partition: zod.number().int().nonnegative(),
  operation: operationSchema,
});

/** Creates a submitter and registers the peer method with which other daemons submit to this one. */
export const createSubmitter = (options: SubmitterOptions): Submitter => {
  const { calls, membership, clockSource } = options;
  const avoidedUntilMs = new Map<string, number>();

  calls.handle(submitMethod, async (params) => {
    const { partition, operation } = paramsSchema.parse(params);
    return options.writerOf(partition).submit(operation);
  });

  const isAvoided = ({ instanceId }: peers.PeerMember): boolean =>
    (avoidedUntilMs.get(instanceId) ?? 0) > clockSource.monotonicMs();

  const submitTo = async (
    owner: peers.PeerMember,
    partition: number,
    operation: LedgerOperation,
  ): Promise<OperationResult | undefined> => {
    const params = { partition, operation };
    const answer = await calls.call(owner.address, submitMethod, params, options.forwardTimeoutMs);
    const result = answer.ok ? operationResultSchema.safeParse(answer.value) : undefined;
    options.onForward(result?.success ? 'answered' : 'failed');
    if (result?.success) return result.data;
    avoidedUntilMs.set(owner.instanceId, clockSource.monotonicMs() + ownerBackoffMs);
    return undefined;
  };

  /**
   * Reports whether a result from another daemon is returned as it is. If that daemon can't reach the
   * platform, this one submits the operation itself, as it may still reach it.
   */
  const isFinal = (result: OperationResult): boolean =>
    result.kind !== 'refused' || result.cause !== 'platform-down';

  return {
    submit: async (partition, operation, isStillNeeded) => {
      const self = membership.self().instanceId;
      let remoteAttempts = 0;
      for (const owner of options.ownerRanking().rank(partition)) {
        if (owner.instanceId === self || remoteAttempts >= maxRemoteAttempts || !isStillNeeded())
          break;
        if (isAvoided(owner)) continue;
        remoteAttempts += 1;
        const result = await submitTo(owner, partition, operation);
        if (result && isFinal(result)) return result;
        if (result) break;
      }
      return options.writerOf(partition).submit(operation, isStillNeeded);
    },
  };
};
