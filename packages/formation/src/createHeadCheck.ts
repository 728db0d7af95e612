import type * as clocks from '@comfreydrum/clock';
import type * as fleet from '@comfreydrum/fleet';
import type * as peers from '@comfreydrum/peers';
import type * as telemetry from '@comfreydrum/telemetry';
import * as zod from 'zod';
import { maxSoundSilenceMs } from './maxSoundSilenceMs';
import type { TargetOrders } from './TargetOrders';

/**
 * Checks whether any daemon can still reach the head of a group. A head that this daemon can't reach may
 * still serve requests of others, and one whose entry has expired may only be partitioned from the store.
 */
export interface HeadCheck {
  /** Records the heads of the listed groups. */
  readonly recordHeads: (groups: readonly fleet.Group[]) => void;
  /**
   * Reports whether the process of the head has ended, or no daemon has reached it for longer than a sound one is silent.
   * Starts a check of it in the background if one is due.
   */
  readonly isGone: (group: fleet.Group) => boolean;
  /** Returns the head of a group as it was first listed. */
  readonly headOf: (groupKey: string) => fleet.Target | undefined;
  /** Reports whether, according to the list, the head has left the group or has restarted. */
  readonly hasLeft: (group: fleet.Group, listed: ReadonlyMap<string, fleet.Target>) => boolean;
}

/** Dependencies of the check. */
export interface HeadCheckOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.Log;
  readonly orders: Pick<TargetOrders, 'probe'>;
  readonly calls: peers.PeerCalls;
  readonly random: () => number;
  /** Returns the addresses of other live daemons. */
  readonly peerAddresses: () => readonly string[];
  /** Called when this daemon has reached a head. */
  readonly onReached: (target: fleet.Target) => void;
  readonly onChange: () => void;
}

/** The state of the head of one group. */
interface HeadState {
  /** Undefined until the head is listed. */
  readonly target: fleet.Target | undefined;
  /** When the first query for a head that was never listed was made; undefined without such a query. */
  readonly missingSinceMs: number | undefined;
  readonly listedAtMs: number;
  /** When the head was last listed as such. */
  readonly headListedAtMs: number;
  readonly checkedAtMs: number;
  readonly isChecking: boolean;
  /** When the first check in a row began in which no daemon reached the head. */
  readonly unreachedSinceMs: number | undefined;
  /** When the last one of them ended. */
  readonly unreachedUntilMs: number;
  /** Whether the last check showed that the process of the head has ended. */
  readonly hasEnded: boolean;
}

/** What a probe of a head found: an answer, that its process has ended, a refused connection, or nothing. */
type ProbeFinding = 'reached' | 'ended' | 'refused' | 'silent';

const probeMethod = 'formation.probe';
const probeTimeoutMs = 200;
const peerCallTimeoutMs = 600;
/** This many daemons are unlikely to be separated from the head by the same network partition. */
const maxPeersPerCheck = 8;
/** Minimum time between two checks of a head. */
const recheckMs = 500;
/** What a check found holds no longer than this, as the head may have answered since. */
const maxCheckGapMs = 1_500;
/** Groups that are no longer listed are forgotten after this time. */
const retentionMs = 60_000;
/** An unknown head no longer serves after this time: it has left, or its group broke when it lost a member. */
const unknownHeadTimeoutMs = 8_000;

const probeRequestSchema = zod.object({
  id: zod.string(),
  startedAtMs: zod.number(),
  address: zod.string(),
});
/** Earlier versions tell only whether they have reached the head. */
const probeResponseSchema = zod.object({
  reached: zod.boolean(),
  finding: zod.enum(['reached', 'ended', 'refused', 'silent']).optional(),
});

/** Builds a target from a probe request, which has only the fields that a probe uses. */
const toTarget = ({
  id,
  startedAtMs,
  address,
}: zod.infer<typeof probeRequestSchema>): fleet.Target => ({
  id,
  startedAtMs,
  address,
  serviceName: '',
  failureDomain: '',
  state: 'live',
  slots: 1,
  fabricDomain: undefined,
  stagedModels: [],
  loadedModels: [],
  membership: undefined,
});

/** Returns for how long no daemon has reached the head, as far as checks show. */
const unreachedMsOf = (head: HeadState | undefined): number =>
  head?.unreachedSinceMs === undefined ? 0 : head.unreachedUntilMs - head.unreachedSinceMs;

/** Creates a check without known heads, and handles the probe requests of other daemons. */
export const createHeadCheck = (options: HeadCheckOptions): HeadCheck => {
  const { clock, log, orders, calls } = options;
  const heads = new Map<string, HeadState>();
  /** Groups whose head was reported to have left, which is logged once. */
  const leftKeys = new Set<string>();

  const probe = async (target: fleet.Target): Promise<ProbeFinding> => {
    const result = await orders.probe(target, probeTimeoutMs);
    if (!result.ok) return result.error.kind;
    return result.value.startedAtMs === target.startedAtMs ? 'reached' : 'ended';
  };

  calls.handle(probeMethod, async (params) => {
    const checked = probeRequestSchema.safeParse(params);
    if (!checked.success) throw new Error('params: expected id, startedAtMs and address');
    const finding = await probe(toTarget(checked.data));
    return { reached: finding === 'reached', finding };
  });

  const probeFromPeer = async (
    address: string,
    target: fleet.Target,
  ): Promise<ProbeFinding | undefined> => {
    const { id, startedAtMs, address: targetAddress } = target;
    const request = { id, startedAtMs, address: targetAddress };
    const result = await calls.call(address, probeMethod, request, peerCallTimeoutMs);
    const checked = result.ok ? probeResponseSchema.safeParse(result.value) : undefined;
    if (!checked?.success) return undefined;
    return checked.data.finding ?? (checked.data.reached ? 'reached' : 'silent');
  };

  /** Orders addresses at random, as neighbours in the list may share the fault that separates them from a head. */
  const shuffle = (addresses: readonly string[]): readonly string[] =>
    addresses
      .map((address) => ({ address, order: options.random() }))
      .sort((one, other) => one.order - other.order)
      .map(({ address }) => address);

  const update = (groupKey: string, change: Partial<HeadState>) => {
    const head = heads.get(groupKey);
    if (head !== undefined) heads.set(groupKey, { ...head, ...change });
  };

  const isHeadGone = (groupKey: string): boolean => {
    const head = heads.get(groupKey);
    if (head === undefined || clock.monotonicMs() - head.checkedAtMs > maxCheckGapMs) return false;
    return head.hasEnded || unreachedMsOf(head) >= maxSoundSilenceMs;
  };

  const check = async (groupKey: string, target: fleet.Target) => {
    update(groupKey, { isChecking: true });
    const startedAtMs = clock.monotonicMs();
    const askedPeers = shuffle(options.peerAddresses()).slice(0, maxPeersPerCheck);
    const [ownFinding, ...peerFindings] = await Promise.all([
      probe(target),
      ...askedPeers.map((address) => probeFromPeer(address, target)),
    ]);
    const findings = [ownFinding, ...peerFindings].filter((finding) => finding !== undefined);
    const answeredCount = findings.length - 1;
    const isReached = findings.includes('reached');
    const isUnreached = !isReached && answeredCount * 2 >= askedPeers.length;
    // A daemon that is cut off from the head may be refused too, so several have to be.
    const isRefused = findings.length > 1 && findings.every((finding) => finding === 'refused');
    const hasEnded = !isReached && (findings.includes('ended') || (isUnreached && isRefused));
    const nowMs = clock.monotonicMs();
    const before = heads.get(groupKey);
    const isInRow = startedAtMs - (before?.unreachedUntilMs ?? -Infinity) <= maxCheckGapMs;
    const unreachedSinceMs = isInRow ? before?.unreachedSinceMs : undefined;
    update(groupKey, {
      isChecking: false,
      checkedAtMs: nowMs,
      hasEnded,
      unreachedSinceMs: isUnreached ? (unreachedSinceMs ?? startedAtMs) : undefined,
      unreachedUntilMs: nowMs,
    });
    const gone = isHeadGone(groupKey);
    log.info(
      {
        step: 'head check',
        group: groupKey,
        targetId: target.id,
        peer: target.address,
        ownReached: ownFinding === 'reached',
        ownFinding,
        askedCount: askedPeers.length,
        answeredCount,
        hasEnded,
        unreachedMs: Math.round(unreachedMsOf(heads.get(groupKey))),
        listedMsAgo: Math.round(nowMs - (before?.headListedAtMs ?? -Infinity)),
        gone,
      },
      gone ? 'the head is considered gone' : 'the head may still serve',
    );
    if (ownFinding === 'reached') options.onReached(target);
    options.onChange();
  };

  const isUnknownHeadGone = (groupKey: string): boolean => {
    const nowMs = clock.monotonicMs();
    const sinceMs = heads.get(groupKey)?.missingSinceMs ?? nowMs;
    update(groupKey, { missingSinceMs: sinceMs });
    return nowMs - sinceMs >= unknownHeadTimeoutMs;
  };

  /** Finds out from the list whether the head has left, and how that shows. */
  const findDeparture = (
    { key, name, epoch }: fleet.Group,
    listed: ReadonlyMap<string, fleet.Target>,
  ): string | undefined => {
    const target = heads.get(key)?.target;
    if (target === undefined) return undefined;
    const now = listed.get(target.id);
    if (now === undefined) return undefined;
    // An entry of an earlier run or epoch is from before the head joined the group.
    if (now.startedAtMs < target.startedAtMs) return undefined;
    if (now.startedAtMs > target.startedAtMs) return 'another run is listed';
    if (now.membership === undefined) return 'listed in no group';
    const isMember = now.membership.groupName === name && now.membership.epoch === epoch;
    if (isMember || now.membership.epoch < epoch) return undefined;
    return `listed in ${now.membership.groupName}`;
  };

  return {
    recordHeads: (groups) => {
      const nowMs = clock.monotonicMs();
      groups.forEach(({ key, head }) => {
        const known = heads.get(key) ?? {
          target: undefined,
          missingSinceMs: undefined,
          checkedAtMs: -Infinity,
          isChecking: false,
          unreachedSinceMs: undefined,
          unreachedUntilMs: -Infinity,
          hasEnded: false,
          headListedAtMs: -Infinity,
        };
        heads.set(key, {
          ...known,
          target: known.target ?? head,
          listedAtMs: nowMs,
          headListedAtMs: head === undefined ? known.headListedAtMs : nowMs,
        });
      });
      heads.forEach(({ listedAtMs }, key) => {
        if (nowMs - listedAtMs <= retentionMs) return;
        heads.delete(key);
        leftKeys.delete(key);
      });
    },
    hasLeft: (group, listed) => {
      const departure = findDeparture(group, listed);
      if (departure !== undefined && !leftKeys.has(group.key)) {
        leftKeys.add(group.key);
        const targetId = heads.get(group.key)?.target?.id;
        log.info(
          { step: 'head check', group: group.key, targetId, departure },
          'the head has left',
        );
      }
      return departure !== undefined;
    },
    isGone: ({ key }) => {
      const head = heads.get(key);
      if (head?.target === undefined) return isUnknownHeadGone(key);
      if (!head.isChecking && clock.monotonicMs() - head.checkedAtMs >= recheckMs) {
        void check(key, head.target);
      }
      return isHeadGone(key);
    },
    headOf: (groupKey) => heads.get(groupKey)?.target,
  };
};
