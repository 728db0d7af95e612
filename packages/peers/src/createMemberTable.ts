import * as ulid from 'ulid';
import { supersedes, type MemberRecord, type MemberState } from './MemberRecord';

/** The records of all known members and their state transitions; all times are monotonic. */
export interface MemberTable {
  readonly self: () => MemberRecord;
  /** Returns every record, including dead members that are still remembered. */
  readonly records: () => readonly MemberRecord[];
  readonly find: (instanceId: string) => MemberRecord | undefined;
  /** Merges a received record; returns whether it changed the table. */
  readonly merge: (record: MemberRecord, nowMs: number) => boolean;
  /**
   * Marks a live member that failed direct and indirect probes as suspect, and a leaving one as dead;
   * `shouldGossip` disseminates the change.
   */
  readonly suspect: (instanceId: string, nowMs: number, shouldGossip: boolean) => void;
  /** Restarts the suspicion timeout of a suspect that responded to a probe. */
  readonly extendSuspicion: (instanceId: string, nowMs: number) => void;
  /** Declares suspects dead after their timeout and removes records of long-dead members. */
  readonly sweep: (nowMs: number) => void;
  /** Postpones every deadline by the duration of a pause of this process. */
  readonly postponeDeadlines: (durationMs: number) => void;
  /** Marks this daemon as leaving. */
  readonly leave: () => void;
}

/** Options of `createMemberTable`. */
export interface MemberTableOptions {
  readonly self: Omit<MemberRecord, 'state' | 'incarnation' | 'refutation'>;
  readonly suspicionMs: number;
  readonly wallMs: number;
  /** Called with each changed record; `shouldGossip` is true if the change is to be disseminated. */
  readonly onChange: (record: MemberRecord, shouldGossip: boolean) => void;
}

const deadRetentionMs = 6 * 3_600_000;
const maxRecordCount = 4_096;

/** Creates a table that contains only this daemon. */
export const createMemberTable = (options: MemberTableOptions): MemberTable => {
  const { onChange } = options;
  const records = new Map<string, MemberRecord>();
  /** When a suspect is declared dead, or the record of a dead member is removed. */
  const deadlines = new Map<string, number>();
  const selfId = options.self.instanceId;

  const timeoutOf = (state: MemberState): number | undefined => {
    if (state === 'suspect') return options.suspicionMs;
    return state === 'dead' ? deadRetentionMs : undefined;
  };

  const store = (record: MemberRecord, nowMs: number, shouldGossip = true) => {
    records.set(record.instanceId, record);
    const durationMs = timeoutOf(record.state);
    if (durationMs === undefined) deadlines.delete(record.instanceId);
    else deadlines.set(record.instanceId, nowMs + durationMs);
    onChange(record, shouldGossip);
  };

  store(
    {
      ...options.self,
      state: 'live',
      incarnation: ulid.ulid(options.wallMs),
      refutation: 0,
    },
    0,
  );

  const self = () => records.get(selfId)!;

  /** Supersedes a record of this daemon that is newer than its own or contradicts it. */
  const refute = (record: MemberRecord, nowMs: number): boolean => {
    const own = self();
    if (!supersedes(record, own)) return false;
    const isForeign = record.incarnation !== own.incarnation;
    store(
      {
        ...own,
        incarnation: isForeign
          ? ulid.ulid(ulid.decodeTime(record.incarnation) + 1)
          : own.incarnation,
        refutation: isForeign ? 0 : record.refutation + 1,
      },
      nowMs,
    );
    return true;
  };

  const changeState = (
    instanceId: string,
    state: MemberState,
    nowMs: number,
    shouldGossip = true,
  ) => {
    const record = records.get(instanceId);
    if (record && record.state !== state) store({ ...record, state }, nowMs, shouldGossip);
  };

  return {
    self,
    records: () => [...records.values()],
    find: (instanceId) => records.get(instanceId),
    merge: (record, nowMs) => {
      if (record.instanceId === selfId) return refute(record, nowMs);
      const known = records.get(record.instanceId);
      if (known && !supersedes(record, known)) return false;
      if (!known && records.size >= maxRecordCount) return false;
      store(record, nowMs);
      return true;
    },
    suspect: (instanceId, nowMs, shouldGossip) => {
      const record = records.get(instanceId);
      if (instanceId === selfId || !record) return;
      if (record.state === 'live') changeState(instanceId, 'suspect', nowMs, shouldGossip);
      if (record.state === 'leaving') changeState(instanceId, 'dead', nowMs, shouldGossip);
    },
    extendSuspicion: (instanceId, nowMs) => {
      if (records.get(instanceId)?.state === 'suspect') {
        deadlines.set(instanceId, nowMs + options.suspicionMs);
      }
    },
    sweep: (nowMs) => {
      const due = [...deadlines].filter(([, deadlineMs]) => deadlineMs <= nowMs);
      due.forEach(([instanceId]) => {
        if (records.get(instanceId)?.state === 'suspect') {
          changeState(instanceId, 'dead', nowMs);
          return;
        }
        deadlines.delete(instanceId);
        records.delete(instanceId);
      });
    },
    postponeDeadlines: (durationMs) => {
      deadlines.forEach((deadlineMs, instanceId) =>
        deadlines.set(instanceId, deadlineMs + durationMs),
      );
    },
    leave: () => {
      const own = self();
      if (own.state !== 'leaving') {
        store({ ...own, state: 'leaving', refutation: own.refutation + 1 }, 0);
      }
    },
  };
};
