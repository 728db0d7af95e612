import { randomUUID } from 'node:crypto';
import { createMemberPoller } from './createMemberPoller';
import type { MemberPoller } from './createMemberPoller';
import type { OrderMessage, Presence } from './OrderMessage';

/** The membership of an engine in a group, which orders change. */
export interface GroupMember {
  /**
   * Applies an order; returns `refused` when fencing is checked and the generation is older than
   * one already seen.
   */
  readonly applyOrder: (order: OrderMessage) => 'accepted' | 'refused';
  readonly presence: () => Presence & { readonly rank: number };
  /** Reports whether this member serves the group's requests: it has rank 0 and is ready. */
  readonly isServing: () => boolean;
  /** Reports whether `name` is the loaded model or one of its adapters. */
  readonly hasLoaded: (name: string) => boolean;
  /** Reports whether a member of the loaded group is missing. */
  readonly isStalled: () => boolean;
  /** Returns the URL of the loaded group's leader, when that is another instance. */
  readonly leaderUrl: () => string | undefined;
  readonly stop: () => void;
}

/** Options of a group member. */
export interface GroupMemberOptions {
  readonly instanceId: string;
  readonly loadMs: number;
  readonly fencing: 'checked' | 'ignored';
  readonly localAddress: string | undefined;
  /** Called when a load or release order unloads the previous model. */
  readonly onUnload: () => void;
}

interface LoadedModel {
  readonly order: OrderMessage;
  readonly readyAtMs: number;
  readonly poller: MemberPoller | undefined;
}

/** Creates a member that belongs to no group. */
export const createGroupMember = (options: GroupMemberOptions): GroupMember => {
  const bootId = randomUUID();
  let loaded: LoadedModel | undefined;
  let highestGeneration = 0;

  const createPoller = (order: OrderMessage) =>
    order.rank === 0
      ? createMemberPoller(order, options.instanceId, options.localAddress)
      : undefined;

  const unload = () => {
    loaded?.poller?.stop();
    loaded = undefined;
    options.onUnload();
  };

  const isLoaded = (order: OrderMessage): boolean =>
    loaded?.order.groupId === order.groupId &&
    loaded.order.generation === order.generation &&
    loaded.order.model === order.model &&
    loaded.order.version === order.version;

  const load = (order: OrderMessage) => {
    if (isLoaded(order)) return;
    unload();
    const readyAtMs = performance.now() + options.loadMs;
    loaded = { order, readyAtMs, poller: createPoller(order) };
  };

  const changeRole = (order: OrderMessage) => {
    if (!loaded) return;
    loaded.poller?.stop();
    const { model, version } = loaded.order;
    const changed = { ...order, model, version };
    loaded = { ...loaded, order: changed, poller: createPoller(changed) };
  };

  const isReady = (): boolean =>
    loaded !== undefined &&
    performance.now() >= loaded.readyAtMs &&
    (loaded.poller?.areAllReady() ?? true);

  let lastReady: LoadedModel | undefined;
  const readPhase = (): Presence['phase'] => {
    if (!loaded) return 'empty';
    // A leader that was ready once stays ready while a member is missing; its streams stall instead.
    if (lastReady === loaded || isReady()) {
      lastReady = loaded;
      return 'ready';
    }
    return 'loading';
  };

  return {
    applyOrder: (order) => {
      if (options.fencing === 'checked' && order.generation < highestGeneration) return 'refused';
      highestGeneration = Math.max(highestGeneration, order.generation);
      if (order.order === 'load') load(order);
      else if (order.order === 'role') changeRole(order);
      else if (loaded?.order.groupId === order.groupId) unload();
      return 'accepted';
    },
    presence: () => ({
      instanceId: options.instanceId,
      bootId,
      groupId: loaded?.order.groupId ?? '',
      generation: loaded?.order.generation ?? 0,
      phase: readPhase(),
      model: loaded?.order.model ?? '',
      version: loaded?.order.version ?? '',
      rank: loaded?.order.rank ?? 0,
    }),
    isServing: () => loaded?.order.rank === 0 && readPhase() === 'ready',
    hasLoaded: (name) =>
      loaded !== undefined && [loaded.order.model, ...loaded.order.adapters].includes(name),
    isStalled: () => !(loaded?.poller?.areAllPresent() ?? true),
    leaderUrl: () =>
      loaded && loaded.order.rank > 0 && loaded.order.leaderUrl !== ''
        ? loaded.order.leaderUrl
        : undefined,
    stop: () => loaded?.poller?.stop(),
  };
};
