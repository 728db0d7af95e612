import type * as clocks from '@comfreydrum/clock';
import type * as fleet from '@comfreydrum/fleet';
import type { TargetOrders } from './TargetOrders';

/** Asks the members of a silent group whether they are there. */
export interface MemberCheck {
  /** Gives the ids of the members that do not answer; empty when all do. */
  readonly findSilent: (groupKey: string) => Promise<readonly string[]>;
}

/** What the check needs. */
export interface MemberCheckOptions {
  readonly clock: clocks.Clock;
  readonly targets: fleet.TargetList;
  readonly orders: Pick<TargetOrders, 'probe'>;
}

/** A live member answers after two round trips between failure domains and a moment of work. */
const probeTimeoutMs = 70;
/** All streams of a group share one check. */
const resultStandsMs = 250;

interface Check {
  readonly startedAtMs: number;
  readonly result: Promise<readonly string[]>;
}

/** Creates a check that has asked nobody. */
export const createMemberCheck = (options: MemberCheckOptions): MemberCheck => {
  const { clock, targets, orders } = options;
  const checks = new Map<string, Check>();

  const ask = async (groupKey: string): Promise<readonly string[]> => {
    const group = targets.groups().find(({ key }) => key === groupKey);
    const answers = await Promise.all(
      (group?.members ?? []).map(async (member) => {
        const { ok } = await orders.probe(member, probeTimeoutMs);
        return ok ? [] : [member.id];
      }),
    );
    return answers.flat();
  };

  return {
    findSilent: (groupKey) => {
      const nowMs = clock.monotonicMs();
      const known = checks.get(groupKey);
      if (known !== undefined && nowMs - known.startedAtMs < resultStandsMs) return known.result;
      checks.forEach(({ startedAtMs }, key) => {
        if (nowMs - startedAtMs >= resultStandsMs) checks.delete(key);
      });
      const check = { startedAtMs: nowMs, result: ask(groupKey) };
      checks.set(groupKey, check);
      return check.result;
    },
  };
};
