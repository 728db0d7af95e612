import * as errors from '@comfreydrum/errors';
import type * as telemetry from '@comfreydrum/telemetry';
import * as ulid from 'ulid';
import type { HolderClient } from './createHolderClient';
import type { PartitionWriter } from './createPartitionWriter';
import type { Holder, LedgerEntry, OpenEntry, Subject } from './LedgerEntry';
import type { LedgerOperation, OperationResult } from './LedgerOperation';

/**
 * The reason why an operator's request failed.
 *
 * - `platform`: the platform did not respond as expected; the request can be retried.
 * - `not-found`: no unknown claim has this id.
 * - `running`: the holder of the claim reports that the request may still run.
 * - `too-early`: the request could still reach its target, so `not-run` can't be confirmed yet.
 */
export type LedgerAdminFailure = errors.Failure<'platform' | 'not-found' | 'running' | 'too-early'>;

type AdminResult<Value> = Promise<errors.Result<Value, LedgerAdminFailure>>;

/** A claim for which it is not known whether its request ran. */
export interface UnknownClaim {
  readonly keyId: string;
  readonly claimId: string;
  readonly subject: Subject;
  readonly holder: Holder;
  /** The wall clock time of the holder at the claim, in milliseconds. */
  readonly claimedAtWallMs: number;
}

/** Administration of the ledger by operators. */
export interface LedgerAdmin {
  /** Returns the claims whose outcome is still unknown. */
  readonly listUnknown: () => AdminResult<readonly UnknownClaim[]>;
  /** Settles an unknown claim with `outcome`, and records `who` reported it. */
  readonly resolve: (claimId: string, outcome: 'ran' | 'not-run', who: string) => AdminResult<void>;
}

export interface LedgerAdminOptions {
  readonly holders: HolderClient;
  readonly partitionCount: () => Promise<errors.Result<number>>;
  readonly writerOf: (partition: number) => PartitionWriter;
  readonly submit: (operation: LedgerOperation) => Promise<OperationResult>;
  readonly log: telemetry.Log;
  readonly timeline: telemetry.Timeline;
}

const isOpen = (entry: LedgerEntry): entry is OpenEntry =>
  entry.state === 'claimed' || entry.state === 'unknown';

/** Creates the administration of a ledger. */
export const createLedgerAdmin = (options: LedgerAdminOptions): LedgerAdmin => {
  const { holders } = options;

  const fail = (kind: LedgerAdminFailure['kind'], step: string, peer: string, message: string) =>
    errors.err<LedgerAdminFailure>({ kind, step, peer, message });

  const toPlatformFailure = ({ step, peer, message }: errors.Failure) =>
    fail('platform', step, peer, message);

  const isUnknown = (entry: OpenEntry): boolean =>
    entry.state === 'unknown' || holders.isGone(entry.holder);

  const readPartition = async (partition: number): AdminResult<readonly OpenEntry[]> => {
    const entries = await options.writerOf(partition).readAll();
    if (!entries.ok) return toPlatformFailure(entries.error);
    const latest = new Map(entries.value.map((entry) => [entry.keyId, entry]));
    return errors.ok([...latest.values()].filter(isOpen).filter(isUnknown));
  };

  const readAll = async (): AdminResult<readonly OpenEntry[]> => {
    const count = await options.partitionCount();
    if (!count.ok) return toPlatformFailure(count.error);
    const found: OpenEntry[] = [];
    for (let partition = 0; partition < count.value; partition += 1) {
      const entries = await readPartition(partition);
      if (!entries.ok) return entries;
      found.push(...entries.value);
    }
    return errors.ok(found);
  };

  const findUnknown = async (claimId: string): AdminResult<OpenEntry> => {
    const entries = await readAll();
    if (!entries.ok) return entries;
    const entry = entries.value.find((candidate) => candidate.claimId === claimId);
    if (entry) return errors.ok(entry);
    return fail('not-found', 'find unknown claim', claimId, `claim "${claimId}" is not unknown`);
  };

  const toUnknownClaim = (entry: OpenEntry): UnknownClaim => ({
    keyId: entry.keyId,
    claimId: entry.claimId,
    subject: entry.subject,
    holder: entry.holder,
    claimedAtWallMs: ulid.decodeTime(entry.claimId),
  });

  const toResult = (claimId: string, result: OperationResult) => {
    const step = 'resolve unknown claim';
    switch (result.kind) {
      case 'recorded':
        return errors.ok(undefined);
      case 'too-early': {
        const message = `the request of claim "${claimId}" may still run for ${result.retryAfterMs} ms`;
        return fail('too-early', step, claimId, message);
      }
      case 'refused':
        return fail('platform', step, claimId, result.reason);
      default:
        return fail('not-found', step, claimId, `claim "${claimId}" was settled meanwhile`);
    }
  };

  return {
    listUnknown: async () => {
      const entries = await readAll();
      return entries.ok ? errors.ok(entries.value.map(toUnknownClaim)) : entries;
    },
    resolve: async (claimId, outcome, who) => {
      const found = await findUnknown(claimId);
      if (!found.ok) return found;
      const { keyId, holder, state } = found.value;
      const status =
        state === 'unknown' ? await holders.queryStatus(holder, claimId) : { kind: 'gone' };
      if (status.kind === 'running') {
        return fail(
          'running',
          'resolve unknown claim',
          holder.instanceId,
          'the request still runs',
        );
      }
      if (state === 'claimed') await options.submit({ kind: 'suspect', keyId, claimId });
      const result = await options.submit({ kind: 'resolve', keyId, claimId, outcome, who });
      options.log.warn({ keyId, claimId, outcome, who, result: result.kind }, 'ledger resolve');
      options.timeline.record('ledger.resolve', {
        outcome: `${outcome} by ${who}: ${result.kind}`,
      });
      return toResult(claimId, result);
    },
  };
};
