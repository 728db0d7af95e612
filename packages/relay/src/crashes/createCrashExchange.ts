import type * as clocks from '@comfreydrum/clock';
import type * as peers from '@comfreydrum/peers';
import * as routing from '@comfreydrum/routing';
import * as zod from 'zod';

/**
 * Exchanges updates on crashes between daemons: in their check-ins with the lease holder, so that every daemon
 * gets every update, and at once with some others, so that a holder that is gone delays nothing in a small fleet.
 */
export interface CrashExchange {
  /** Sends an update of this daemon to the others; cleared requests wait for the next check-in. */
  readonly publish: (update: routing.QuarantineUpdate) => void;
  /** Returns the updates to send to the lease holder. */
  readonly createRequest: () => Readonly<Record<string, unknown>>;
  /** Applies the updates of a daemon that checks in, and returns the ones it lacks. */
  readonly createResponse: (request: unknown) => Readonly<Record<string, unknown>>;
  readonly applyResponse: (response: unknown) => void;
  /** Sets the listener for updates of other daemons that this one did not have. */
  readonly onUpdates: (listener: UpdateListener) => void;
}

type UpdateListener = (updates: readonly routing.QuarantineUpdate[]) => void;

/** Dependencies of the exchange. */
export interface CrashExchangeOptions {
  readonly clock: clocks.Clock;
  readonly calls: peers.PeerCalls;
  /** Identifies this run of this daemon. */
  readonly runId: string;
  /** Returns the addresses of some other live daemons. */
  readonly peerAddresses: () => readonly string[];
  /** Called when there are updates for the lease holder. */
  readonly checkInSoon: () => void;
}

interface Entry {
  readonly id: string;
  readonly update: routing.QuarantineUpdate;
  /** Position in the log of this daemon. */
  readonly position: number;
  readonly atMs: number;
  readonly isOwn: boolean;
}

const crashesMethod = 'relay.crashes';
const callTimeoutMs = 400;
const maxEntries = 2_048;
const maxUpdatesPerMessage = 64;
const beforeFirst = -1;

const sharedUpdateSchema = zod.object({
  id: zod.string(),
  update: routing.quarantineUpdateSchema,
});
type SharedUpdate = Readonly<zod.infer<typeof sharedUpdateSchema>>;
const updatesSchema = zod.array(sharedUpdateSchema);
const cursorSchema = zod.object({ logId: zod.string(), position: zod.number() });
const requestSchema = zod.object({
  crashes: zod.object({ updates: updatesSchema, cursor: cursorSchema.optional() }),
});
const responseSchema = zod.object({
  crashes: zod.object({ updates: updatesSchema, cursor: cursorSchema }),
});
const messageSchema = zod.object({ updates: updatesSchema });

const ageOf = (update: routing.QuarantineUpdate): number =>
  update.kind === 'cleared' ? 0 : update.ageMs;

/** Creates an exchange without updates, and handles the messages of other daemons. */
export const createCrashExchange = (options: CrashExchangeOptions): CrashExchange => {
  const { clock, calls, runId } = options;
  /** In the order of their positions. */
  const entries = new Map<string, Entry>();
  let nextPosition = 0;
  /** The position in the log of the lease holder up to which this daemon has its updates. */
  let holderCursor: zod.infer<typeof cursorSchema> | undefined;
  /** The position in the own log up to which the lease holder has the updates of this daemon. */
  let acknowledgedPosition = beforeFirst;
  let requestedPosition = beforeFirst;
  let notifyListener: UpdateListener = () => {};

  const store = (id: string, update: routing.QuarantineUpdate, isOwn: boolean) => {
    const atMs = clock.monotonicMs() - ageOf(update);
    entries.set(id, { id, update, position: nextPosition, atMs, isOwn });
    nextPosition += 1;
    const [oldestId] = entries.keys();
    if (entries.size > maxEntries) entries.delete(oldestId!);
  };

  const share = ({ id, update, atMs }: Entry): SharedUpdate => {
    if (update.kind === 'cleared') return { id, update };
    return { id, update: { ...update, ageMs: clock.monotonicMs() - atMs } };
  };

  const receive = (updates: readonly SharedUpdate[]) => {
    const added = updates.filter(({ id }) => !entries.has(id));
    added.forEach(({ id, update }) => store(id, update, false));
    if (added.length > 0) notifyListener(added.map(({ update }) => update));
  };

  const entriesAfter = (position: number): readonly Entry[] =>
    [...entries.values()].filter((entry) => entry.position > position);

  const notifyPeers = (entry: Entry) =>
    options.peerAddresses().forEach((address) => {
      void calls.call(address, crashesMethod, { updates: [share(entry)] }, callTimeoutMs);
    });

  calls.handle(crashesMethod, async (params) => {
    const checked = messageSchema.safeParse(params);
    if (!checked.success) throw new Error('params: expected updates');
    receive(checked.data.updates);
    return {};
  });

  return {
    onUpdates: (listener) => {
      notifyListener = listener;
    },
    publish: (update) => {
      const id = `${runId}/${nextPosition}`;
      store(id, update, true);
      // Each loss clears many requests, and nothing waits for that.
      if (update.kind === 'cleared') return;
      notifyPeers(entries.get(id)!);
      options.checkInSoon();
    },
    createRequest: () => {
      const sent = entriesAfter(acknowledgedPosition)
        .filter(({ isOwn }) => isOwn)
        .slice(0, maxUpdatesPerMessage);
      requestedPosition = sent.at(-1)?.position ?? acknowledgedPosition;
      return { crashes: { updates: sent.map(share), cursor: holderCursor } };
    },
    createResponse: (request) => {
      const checked = requestSchema.safeParse(request);
      const cursor = checked.data?.crashes.cursor;
      receive(checked.data?.crashes.updates ?? []);
      const position = cursor?.logId === runId ? cursor.position : beforeFirst;
      const sent = entriesAfter(position).slice(0, maxUpdatesPerMessage);
      return {
        crashes: {
          updates: sent.map(share),
          cursor: { logId: runId, position: sent.at(-1)?.position ?? position },
        },
      };
    },
    applyResponse: (response) => {
      const checked = responseSchema.safeParse(response);
      if (!checked.success) return;
      const { updates, cursor } = checked.data.crashes;
      // Another holder may lack the updates that were sent to the previous one.
      const isNewHolder = holderCursor !== undefined && holderCursor.logId !== cursor.logId;
      acknowledgedPosition = isNewHolder ? beforeFirst : requestedPosition;
      holderCursor = cursor;
      receive(updates);
    },
  };
};
