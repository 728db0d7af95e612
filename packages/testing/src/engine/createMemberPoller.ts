import * as undici from 'undici';
import { presenceSchema } from './OrderMessage';
import type { OrderMessage, Presence } from './OrderMessage';

/** The leader's view of the other members of its group. */
export interface MemberPoller {
  /** Reports whether the last poll found every member present, in the process that loaded. */
  readonly areAllPresent: () => boolean;
  readonly areAllReady: () => boolean;
  readonly stop: () => void;
}

interface MemberState {
  readonly url: string;
  readonly bootId: string | undefined;
  readonly isPresent: boolean;
  readonly isReady: boolean;
}

const pollIntervalMs = 100;
const pollTimeoutMs = 400;

/** Polls the other members of a group until stopped. */
export const createMemberPoller = (
  order: OrderMessage,
  ownInstanceId: string,
  localAddress: string | undefined,
): MemberPoller => {
  const agent = new undici.Agent({ connect: { localAddress, timeout: pollTimeoutMs } });
  const states = new Map<string, MemberState>(
    order.members
      .filter(({ instanceId }) => instanceId !== ownInstanceId)
      .map(({ instanceId, url }) => [
        instanceId,
        { url, bootId: undefined, isPresent: false, isReady: false },
      ]),
  );
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;

  const fetchPresence = async (url: string): Promise<Presence | undefined> => {
    try {
      const signal = AbortSignal.timeout(pollTimeoutMs);
      const response = await undici.request(`${url}/presence`, { dispatcher: agent, signal });
      return presenceSchema.parse(await response.body.json());
    } catch {
      return undefined;
    }
  };

  const pollMember = async (instanceId: string, state: MemberState) => {
    const presence = await fetchPresence(state.url);
    const isSameGroup =
      presence?.groupId === order.groupId && presence.generation === order.generation;
    const isSameBoot = state.bootId === undefined || state.bootId === presence?.bootId;
    const isPresent = isSameGroup && isSameBoot;
    states.set(instanceId, {
      ...state,
      bootId: state.bootId ?? (isSameGroup ? presence?.bootId : undefined),
      isPresent,
      isReady: isPresent && presence.phase === 'ready',
    });
  };

  const poll = async () => {
    await Promise.all([...states].map(([instanceId, state]) => pollMember(instanceId, state)));
    if (isStopped) return;
    timer = setTimeout(() => {
      void poll();
    }, pollIntervalMs);
  };

  if (states.size > 0) void poll();

  return {
    areAllPresent: () => [...states.values()].every(({ isPresent }) => isPresent),
    areAllReady: () => [...states.values()].every(({ isReady }) => isReady),
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
      void agent.destroy();
    },
  };
};
