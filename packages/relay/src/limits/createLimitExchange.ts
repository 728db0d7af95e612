import * as zod from 'zod';
import type { LimitTable } from './createLimitTable';

/** Exchanges the limits of targets between daemons in their check-ins with the lease holder. */
export interface LimitExchange {
  /** Returns the limits to send to the lease holder. */
  readonly createRequest: () => Readonly<Record<string, unknown>>;
  /** Applies the limits of a daemon that checks in, and returns those that it lacks. */
  readonly createResponse: (request: unknown) => Readonly<Record<string, unknown>>;
  readonly applyResponse: (response: unknown) => void;
}

export interface LimitExchangeOptions {
  readonly table: LimitTable;
  /** Identifies this run of this daemon. */
  readonly runId: string;
}

const limitSchema = zod.object({
  targetKey: zod.string(),
  perSecond: zod.number().nonnegative().nullable(),
  ageMs: zod.number(),
});
const cursorSchema = zod.object({ tableId: zod.string(), version: zod.number() });
const requestSchema = zod.object({
  limits: zod.object({ changed: zod.array(limitSchema), cursor: cursorSchema.optional() }),
});
const responseSchema = zod.object({
  limits: zod.object({ changed: zod.array(limitSchema), cursor: cursorSchema }),
});

/** Creates an exchange of the limits in a table. */
export const createLimitExchange = ({ table, runId }: LimitExchangeOptions): LimitExchange => {
  /** The version of the lease holder's table up to which this daemon has its limits. */
  let holderCursor: zod.infer<typeof cursorSchema> | undefined;
  /** The version of the own table up to which the lease holder has the limits of this daemon. */
  let acknowledgedVersion = 0;
  let requestedVersion = 0;

  return {
    createRequest: () => {
      const { limits, version } = table.changesSince(acknowledgedVersion);
      requestedVersion = version;
      return { limits: { changed: limits, cursor: holderCursor } };
    },
    createResponse: (request) => {
      const checked = requestSchema.safeParse(request);
      const cursor = checked.data?.limits.cursor;
      table.applyShared(checked.data?.limits.changed ?? []);
      const { limits, version } = table.changesSince(
        cursor?.tableId === runId ? cursor.version : 0,
      );
      return { limits: { changed: limits, cursor: { tableId: runId, version } } };
    },
    applyResponse: (response) => {
      const checked = responseSchema.safeParse(response);
      if (!checked.success) return;
      const { changed, cursor } = checked.data.limits;
      // Another holder may lack the limits that were sent to the previous one.
      const isNewHolder = holderCursor !== undefined && holderCursor.tableId !== cursor.tableId;
      acknowledgedVersion = isNewHolder ? 0 : requestedVersion;
      holderCursor = cursor;
      table.applyShared(changed);
    },
  };
};
