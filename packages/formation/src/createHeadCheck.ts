import type * as clocks from '@comfreydrum/clock';
import type * as fleet from '@comfreydrum/fleet';
import type * as peers from '@comfreydrum/peers';
import type * as telemetry from '@comfreydrum/telemetry';
import * as zod from 'zod';
import type { TargetOrders } from './TargetOrders';

/**
 * Finds out whether any daemon still reaches the head of a group. A head that this daemon can't reach may
 * still serve for others, and one whose entry lapsed may only be cut off from the store.
 */
export interface HeadCheck {
  /** Remembers the heads of the listed groups. */
  readonly learn: (groups: readonly fleet.Group[]) => void;
  readonly isGone: (group: fleet.Group) => boolean;
  /** Tells whether the list shows that the head has left the group, has started anew or never joined. */
  readonly hasMovedOn: (group: fleet.Group, listed: ReadonlyMap<string, fleet.Target>) => boolean;
}

/** What the check needs. */
export interface HeadCheckOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.Log;
  readonly orders: Pick<TargetOrders, 'probe'>;
  readonly calls: peers.PeerCalls;
  /** Gives the addresses of other daemons that live. */
  readonly peerAddresses: () => readonly string[];
  /** Told when this daemon has reached a head. */
  readonly onReached: (target: fleet.Target) => void;
  readonly onChange: () => void;
}

/** What is known of the head of one group. */
interface Head {
  /** Undefined until the list has shown it. */
  readonly target: fleet.Target | undefined;
  /** When the group appeared; undefined for one that was there when this daemon began to follow the list. */
  readonly appearedAtMs: number | undefined;
  /** Since when it is asked whether a head that was never seen is gone. */
  readonly askedSinceMs: number | undefined;
  readonly seenAtMs: number;
  readonly checkedAtMs: number;
  readonly checking: boolean;
  readonly gone: boolean;
}

const probeMethod = 'formation.probe';
const probeTimeoutMs = 200;
const peerCallTimeoutMs = 600;
/** So many daemons hardly share one cut. */
const maxAskedPeers = 8;
/** A head that was reached is asked again after this. */
const recheckMs = 500;
/** Groups that nobody reports any more are forgotten after this. */
const forgottenAfterMs = 60_000;
/** Members of one group show themselves within this time of each other. */
const headJoinMs = 1_000;
/** A head of which nothing is known has ended by then: a leaving one, or one that breaks without a member. */
const unknownHeadWaitMs = 8_000;

const questionSchema = zod.object({
  id: zod.string(),
  startedAtMs: zod.number(),
  address: zod.string(),
});
const answerSchema = zod.object({ reached: zod.boolean() });

/** Only what a probe needs of a target is told to other daemons. */
const toTarget = ({
  id,
  startedAtMs,
  address,
}: zod.infer<typeof questionSchema>): fleet.Target => ({
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

/** Creates a check that knows no heads; it also answers the questions of other daemons. */
export const createHeadCheck = (options: HeadCheckOptions): HeadCheck => {
  const { clock, log, orders, calls } = options;
  const heads = new Map<string, Head>();
  let hasLearned = false;

  const reach = async (target: fleet.Target): Promise<boolean> => {
    const result = await orders.probe(target, probeTimeoutMs);
    return result.ok && result.value.startedAtMs === target.startedAtMs;
  };

  calls.handle(probeMethod, async (params) => {
    const checked = questionSchema.safeParse(params);
    if (!checked.success) throw new Error('params: expected id, startedAtMs and address');
    return { reached: await reach(toTarget(checked.data)) };
  });

  const askPeer = async (address: string, target: fleet.Target) => {
    const { id, startedAtMs, address: targetAddress } = target;
    const question = { id, startedAtMs, address: targetAddress };
    const result = await calls.call(address, probeMethod, question, peerCallTimeoutMs);
    const checked = result.ok ? answerSchema.safeParse(result.value) : undefined;
    return checked?.success ? checked.data.reached : undefined;
  };

  const update = (groupKey: string, change: Partial<Head>) => {
    const head = heads.get(groupKey);
    if (head !== undefined) heads.set(groupKey, { ...head, ...change });
  };

  const check = async (groupKey: string, target: fleet.Target) => {
    update(groupKey, { checking: true });
    const asked = options.peerAddresses().slice(0, maxAskedPeers);
    const [own, ...others] = await Promise.all([
      reach(target),
      ...asked.map((address) => askPeer(address, target)),
    ]);
    const answered = others.filter((answer) => answer !== undefined);
    const isReached = own === true || answered.includes(true);
    const gone = !isReached && answered.length * 2 >= asked.length;
    update(groupKey, { checking: false, checkedAtMs: clock.monotonicMs(), gone });
    log.info(
      {
        step: 'head check',
        group: groupKey,
        targetId: target.id,
        peer: target.address,
        ownReached: own,
        askedCount: asked.length,
        answeredCount: answered.length,
        gone,
      },
      gone ? 'no daemon reaches the head' : 'the head may still serve',
    );
    if (own === true) options.onReached(target);
    options.onChange();
  };

  const isUnknownHeadGone = (groupKey: string): boolean => {
    const nowMs = clock.monotonicMs();
    const sinceMs = heads.get(groupKey)?.askedSinceMs ?? nowMs;
    update(groupKey, { askedSinceMs: sinceMs });
    return nowMs - sinceMs >= unknownHeadWaitMs;
  };

  /** A head is ordered to open only once the list shows it, so one that never joined never opened. */
  const neverHadHead = (groupKey: string): boolean => {
    const atMs = heads.get(groupKey)?.appearedAtMs;
    return atMs !== undefined && clock.monotonicMs() - atMs >= headJoinMs;
  };

  return {
    learn: (groups) => {
      const nowMs = clock.monotonicMs();
      groups.forEach(({ key, head }) => {
        const known = heads.get(key) ?? {
          target: undefined,
          appearedAtMs: hasLearned ? nowMs : undefined,
          askedSinceMs: undefined,
          checkedAtMs: -Infinity,
          checking: false,
          gone: false,
        };
        heads.set(key, { ...known, target: known.target ?? head, seenAtMs: nowMs });
      });
      hasLearned ||= groups.length > 0;
      heads.forEach(({ seenAtMs }, key) => {
        if (nowMs - seenAtMs > forgottenAfterMs) heads.delete(key);
      });
    },
    hasMovedOn: ({ key, name, epoch }, listed) => {
      const target = heads.get(key)?.target;
      if (target === undefined) return neverHadHead(key);
      const now = listed.get(target.id);
      if (now === undefined) return false;
      if (now.startedAtMs !== target.startedAtMs) return true;
      return now.membership?.groupName !== name || now.membership.epoch !== epoch;
    },
    isGone: ({ key }) => {
      const head = heads.get(key);
      if (head?.target === undefined) return isUnknownHeadGone(key);
      if (head.gone) return true;
      if (!head.checking && clock.monotonicMs() - head.checkedAtMs >= recheckMs) {
        void check(key, head.target);
      }
      return false;
    },
  };
};
