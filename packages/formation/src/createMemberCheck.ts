import type * as clocks from '@comfreydrum/clock';
import type * as fleet from '@comfreydrum/fleet';
import type { TargetOrders } from './TargetOrders';

/** Probes the members of a group whose streams have stalled. */
export interface MemberCheck {
  /** Returns the ids of the members that do not respond. */
  readonly findUnresponsive: (groupKey: string) => Promise<readonly string[]>;
}

/** Dependencies of the check. */
export interface MemberCheckOptions {
  readonly clock: clocks.Clock;
  readonly targets: fleet.TargetList;
  readonly orders: Pick<TargetOrders, 'probe'>;
}

/** Enough for two round trips between failure domains and the processing time of a live member. */
const probeTimeoutMs = 70;
/** The streams of a group share one check for this time. */
const resultValidityMs = 250;

interface Check {
  readonly startedAtMs: number;
  readonly result: Promise<readonly string[]>;
}

/** Creates a check without results. */
export const createMemberCheck = (options: MemberCheckOptions): MemberCheck => {
  const { clock, targets, orders } = options;
  const checks = new Map<string, Check>();

  const probeMembers = async (groupKey: string): Promise<readonly string[]> => {
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
    findUnresponsive: (groupKey) => {
      const nowMs = clock.monotonicMs();
      const known = checks.get(groupKey);
      if (known !== undefined && nowMs - known.startedAtMs < resultValidityMs) return known.result;
      checks.forEach(({ startedAtMs }, key) => {
        if (nowMs - startedAtMs >= resultValidityMs) checks.delete(key);
      });
      const check = { startedAtMs: nowMs, result: probeMembers(groupKey) };
      checks.set(groupKey, check);
      return check.result;
    },
  };
};
