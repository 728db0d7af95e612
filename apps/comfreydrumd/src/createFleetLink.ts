import type * as gateway from '@comfreydrum/gateway';
import type * as peers from '@comfreydrum/peers';

/** Creates the link over which the gateway of a daemon communicates with the gateways of its peers. */
export const createFleetLink = ({
  membership,
  messageBus,
  calls,
}: peers.Peers): gateway.FleetLink => {
  const liveMembers = () => membership.members().filter(({ state }) => state === 'live');

  return {
    selfId: membership.self().instanceId,
    liveIds: () => liveMembers().map(({ instanceId }) => instanceId),
    call: async (instanceId, method, params, timeoutMs) => {
      const member = membership.members().find((other) => other.instanceId === instanceId);
      if (member === undefined) return undefined;
      const result = await calls.call(member.address, method, params, timeoutMs);
      return result.ok ? result.value : undefined;
    },
    handle: (method, handler) => calls.handle(method, async (params) => handler(params)),
    publish: (topic, key, value, lifetimeMs) => messageBus.publish(topic, key, value, lifetimeMs),
    onUpdate: (topic, listener) => messageBus.onMessage(topic, listener),
  };
};
