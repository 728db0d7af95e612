import { setTimeout as delay } from 'node:timers/promises';
import type * as clocks from '@comfreydrum/clock';
import type * as fleet from '@comfreydrum/fleet';
import type * as peers from '@comfreydrum/peers';
import type * as telemetry from '@comfreydrum/telemetry';
import * as zod from 'zod';
import type { MemberCheck, UnresponsiveMember } from './createMemberCheck';
import { rankAddresses } from './rankAddresses';

/** Has the members of silent groups probed by one daemon for all. */
export interface SharedMemberCheck {
  /**
   * Returns the unresponsive members of a group that has been silent for `silentMs`. A check that began within this
   * time shows the member whose loss caused the silence.
   */
  readonly findUnresponsive: (
    groupKey: string,
    silentMs: number,
  ) => Promise<readonly UnresponsiveMember[]>;
}

/** Dependencies of the shared check. */
export interface SharedMemberCheckOptions {
  readonly clock: clocks.Clock;
  readonly targets: Pick<fleet.TargetList, 'groups'>;
  readonly calls: peers.PeerCalls;
  /** Address at which other daemons call this one. */
  readonly ownAddress: string;
  /** Returns the daemons that probe for all; none if each daemon probes for itself. */
  readonly observerAddresses: () => readonly string[];
  /** Probes from this daemon. */
  readonly ownCheck: MemberCheck;
  /** Called with the members that this daemon itself has found unresponsive. */
  readonly onUnresponsive: (members: readonly UnresponsiveMember[]) => void;
  /** Counts the checks of silent groups by who made them. */
  readonly checks: telemetry.Counter;
}

const checkMethod = 'formation.checkMembers';
/** Sound members answer within this time; an observer that has no result by then says that it is checking. */
const quickCheckMs = 10;
/** A quick check, a new connection and a round trip between failure domains. */
const quickCallTimeoutMs = 40;
/** The rest of the timeout of a probe, and a round trip. */
const resultCallTimeoutMs = 80;
/** How long an observer that gave no answer is not asked again. */
const observerRetryMs = 1_000;

const requestSchema = zod.object({
  groupKey: zod.string(),
  memberCount: zod.number(),
  silentMs: zod.number(),
  /** Whether the response comes only with the result. */
  waits: zod.boolean(),
});
const memberSchema = zod.object({
  targetId: zod.string(),
  startedAtMs: zod.number(),
  hasEnded: zod.boolean(),
});
type CheckRequest = Readonly<zod.infer<typeof requestSchema>>;
const responseSchema = zod.object({
  unresponsive: zod.array(memberSchema).optional(),
  isChecking: zod.boolean().optional(),
});

/**
 * Creates a check that asks one observer for each group, the same one at all daemons, and probes itself if that gives no
 * answer. For fleets in which many daemons have streams at the same group.
 */
export const createSharedMemberCheck = (options: SharedMemberCheckOptions): SharedMemberCheck => {
  const { clock, targets, calls, ownAddress, checks } = options;
  const blockedUntilMs = new Map<string, number>();

  const memberCountOf = (groupKey: string): number =>
    targets.groups().find(({ key }) => key === groupKey)?.members.length ?? 0;

  const checkHere = async (groupKey: string, silentMs?: number) => {
    checks.add({ by: 'self' });
    const unresponsive = await options.ownCheck.findUnresponsive(groupKey, silentMs);
    options.onUnresponsive(unresponsive);
    return unresponsive;
  };

  const call = async (address: string, request: CheckRequest) => {
    const timeoutMs = request.waits ? resultCallTimeoutMs : quickCallTimeoutMs;
    const result = await calls.call(address, checkMethod, request, timeoutMs);
    if (!result.ok) blockedUntilMs.set(address, clock.monotonicMs() + observerRetryMs);
    const checked = responseSchema.safeParse(result.ok ? result.value : undefined);
    return checked.data;
  };

  /** Asks an observer; returns nothing if it gives no answer or doesn't list the group alike. */
  const ask = async (address: string, groupKey: string, silentMs: number) => {
    const request = { groupKey, memberCount: memberCountOf(groupKey), silentMs };
    const quick = await call(address, { ...request, waits: false });
    if (quick?.isChecking !== true) return quick?.unresponsive;
    return (await call(address, { ...request, waits: true }))?.unresponsive;
  };

  /** A whole group that is silent, but has not ended, may be out of reach of the observer only. */
  const isDoubtful = (groupKey: string, unresponsive: readonly UnresponsiveMember[]): boolean =>
    unresponsive.length > 0 &&
    unresponsive.length >= memberCountOf(groupKey) &&
    unresponsive.every(({ hasEnded }) => !hasEnded);

  calls.handle(checkMethod, async (params) => {
    const checked = requestSchema.safeParse(params);
    if (!checked.success)
      throw new Error('params: expected groupKey, memberCount, silentMs and waits');
    const { groupKey, memberCount, silentMs, waits } = checked.data;
    if (memberCount === 0 || memberCountOf(groupKey) !== memberCount) return {};
    const check = checkHere(groupKey, silentMs);
    if (waits) return { unresponsive: await check };
    const unresponsive = await Promise.race([
      check,
      delay(quickCheckMs, undefined, { ref: false }),
    ]);
    return unresponsive === undefined ? { isChecking: true } : { unresponsive };
  });

  return {
    findUnresponsive: async (groupKey, silentMs) => {
      const [observer] = rankAddresses(groupKey, options.observerAddresses());
      if (observer === undefined) return checkHere(groupKey);
      const isBlocked = (blockedUntilMs.get(observer) ?? -Infinity) > clock.monotonicMs();
      if (observer === ownAddress || isBlocked) return checkHere(groupKey, silentMs);
      const unresponsive = await ask(observer, groupKey, silentMs);
      if (unresponsive === undefined || isDoubtful(groupKey, unresponsive))
        return checkHere(groupKey, silentMs);
      checks.add({ by: 'observer' });
      return unresponsive;
    },
  };
};
