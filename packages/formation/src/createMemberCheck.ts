import type * as clocks from '@comfreydrum/clock';
import type * as fleet from '@comfreydrum/fleet';
import type { TargetOrders } from './TargetOrders';

/** A member of a group that does not respond. */
export interface UnresponsiveMember {
  readonly targetId: string;
  readonly startedAtMs: number;
  /** Whether its port refuses connections, so that its process has ended. */
  readonly hasEnded: boolean;
}

/** Probes the members of a group whose streams have stalled. */
export interface MemberCheck {
  /** Probes the members, or returns the result of a check that began within `maxAgeMs`. */
  readonly findUnresponsive: (
    groupKey: string,
    maxAgeMs?: number,
  ) => Promise<readonly UnresponsiveMember[]>;
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
  readonly result: Promise<readonly UnresponsiveMember[]>;
}

/** Creates a check without results. */
export const createMemberCheck = (options: MemberCheckOptions): MemberCheck => {
  const { clock, targets, orders } = options;
  const checks = new Map<string, Check>();

  const probeMembers = async (groupKey: string): Promise<readonly UnresponsiveMember[]> => {
    const group = targets.groups().find(({ key }) => key === groupKey);
    const answers = await Promise.all(
      (group?.members ?? []).map(async (member) => {
        const probed = await orders.probe(member, probeTimeoutMs);
        if (probed.ok) return [];
        const { id: targetId, startedAtMs } = member;
        return [{ targetId, startedAtMs, hasEnded: probed.error.kind === 'refused' }];
      }),
    );
    return answers.flat();
  };

  return {
    findUnresponsive: (groupKey, maxAgeMs = resultValidityMs) => {
      const validityMs = Math.min(resultValidityMs, maxAgeMs);
      const nowMs = clock.monotonicMs();
      const known = checks.get(groupKey);
      if (known !== undefined && nowMs - known.startedAtMs < validityMs) return known.result;
      checks.forEach(({ startedAtMs }, key) => {
        if (nowMs - startedAtMs >= resultValidityMs) checks.delete(key);
      });
      const check = { startedAtMs: nowMs, result: probeMembers(groupKey) };
      checks.set(groupKey, check);
      return check.result;
    },
  };
};
