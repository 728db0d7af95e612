import type * as clocks from '@comfreydrum/clock';
import * as zod from 'zod';
import type { LeavingChanges, LeavingTable } from './createLeavingTable';

/** Exchanges the runs of targets that are leaving between daemons in their check-ins with the lease holder. */
export interface LeavingExchange {
  /** Returns what the lease holder lacks. */
  readonly createRequest: () => Readonly<Record<string, unknown>>;
  /** Applies what a daemon that checks in reports, and returns what it lacks. */
  readonly createResponse: (request: unknown) => Readonly<Record<string, unknown>>;
  readonly applyResponse: (response: unknown) => void;
}

export interface LeavingExchangeOptions {
  readonly clock: clocks.Clock;
  readonly table: LeavingTable;
  /** Identifies this run of this daemon. */
  readonly runId: string;
  readonly onShared: (targetKeys: readonly string[]) => void;
}

const targetKeysSchema = zod.array(zod.string());
const cursorSchema = zod.object({ tableId: zod.string(), version: zod.number() });
const requestSchema = zod.object({
  leaving: zod.object({ targetKeys: targetKeysSchema, cursor: cursorSchema.optional() }),
});
const responseSchema = zod.object({
  leaving: zod.object({ targetKeys: targetKeysSchema, cursor: cursorSchema }),
});

/** Creates an exchange of the runs in a table; each run passes once in each direction that needs it. */
export const createLeavingExchange = (options: LeavingExchangeOptions): LeavingExchange => {
  const { clock, table, runId, onShared } = options;
  /** The version of the lease holder's table up to which this daemon has its runs. */
  let holderCursor: zod.infer<typeof cursorSchema> | undefined;
  /** The version of the own table up to which the lease holder has the runs of this daemon. */
  let acknowledgedVersion = 0;
  /** What the request in progress contains. */
  let requested: LeavingChanges = { targetKeys: [], version: 0, isWhole: true };
  /** Whether the lease holder may lack what an earlier one has told this daemon. */
  let isHolderNew = false;

  return {
    createRequest: () => {
      requested = table.changesSince({
        version: acknowledgedVersion,
        nowMs: clock.monotonicMs(),
        isOwnOnly: !isHolderNew,
      });
      return { leaving: { targetKeys: requested.targetKeys, cursor: holderCursor } };
    },
    createResponse: (request) => {
      const checked = requestSchema.safeParse(request);
      if (!checked.success) return {};
      const { targetKeys: reported, cursor } = checked.data.leaving;
      onShared(reported);
      const { targetKeys, version } = table.changesSince({
        version: cursor?.tableId === runId ? cursor.version : 0,
        nowMs: clock.monotonicMs(),
        isOwnOnly: false,
      });
      return { leaving: { targetKeys, cursor: { tableId: runId, version } } };
    },
    applyResponse: (response) => {
      const checked = responseSchema.safeParse(response);
      if (!checked.success) return;
      const { targetKeys, cursor } = checked.data.leaving;
      const hasChanged = holderCursor !== undefined && holderCursor.tableId !== cursor.tableId;
      isHolderNew = hasChanged || (isHolderNew && !requested.isWhole);
      acknowledgedVersion = hasChanged ? 0 : requested.version;
      holderCursor = cursor;
      onShared(targetKeys);
    },
  };
};
