import { setTimeout as sleep } from 'node:timers/promises';
import * as clock from '@comfreydrum/clock';
import * as errors from '@comfreydrum/errors';
import type * as peers from '@comfreydrum/peers';
import type * as objectStore from '@comfreydrum/object-store';
import * as telemetry from '@comfreydrum/telemetry';
import { createLedger, type LedgerComponent, type LedgerOptions } from '../createLedger';

/** The ledger of one daemon on an in-memory network. */
export interface MemoryDaemon {
  readonly ledger: LedgerComponent;
  readonly instanceId: string;
}

/** Ledgers of several daemons on one platform and one network with injectable faults. */
export interface MemoryFleet {
  /** Starts a daemon, or restarts it as a new incarnation. */
  readonly start: (instanceId: string, overrides?: Partial<LedgerOptions>) => Promise<MemoryDaemon>;
  /** Drops all calls to and from a daemon; it stays a member. */
  readonly isolate: (instanceId: string) => void;
  /** Removes a daemon from the network and the membership. */
  readonly kill: (instanceId: string) => void;
  /** Reverts `isolate` and `kill`. */
  readonly heal: (instanceId: string) => void;
}

type Handler = (params: unknown, callerId: string) => Promise<unknown>;
type PeerResult = errors.Result<unknown, peers.PeerFailure>;

interface Node {
  readonly member: peers.PeerMember;
  readonly handlers: ReadonlyMap<string, Handler>;
}

export interface MemoryFleetOptions {
  readonly latencyMs?: number;
  readonly settings?: LedgerOptions['settings'];
  readonly clockSource?: clock.Clock;
}

const copy = (value: unknown): unknown =>
  value === undefined ? undefined : (JSON.parse(JSON.stringify(value)) as unknown);

/** Creates a fleet without daemons. */
export const createMemoryFleet = (
  client: objectStore.PlatformClient,
  options: MemoryFleetOptions = {},
): MemoryFleet => {
  const { latencyMs = 0, clockSource = clock.createSystemClock() } = options;
  const nodes = new Map<string, Node>();
  const isolated = new Set<string>();
  const dead = new Set<string>();
  const incarnations = new Map<string, number>();

  const listMembers = () =>
    [...nodes.values()]
      .map(({ member }) => member)
      .filter(({ instanceId }) => !dead.has(instanceId))
      .sort((left, right) => left.instanceId.localeCompare(right.instanceId));

  const isUnreachable = (instanceId: string) => isolated.has(instanceId) || dead.has(instanceId);

  const fail = (kind: peers.PeerFailure['kind'], address: string, method: string) =>
    errors.err<peers.PeerFailure>({ kind, step: method, peer: address, message: kind });

  const createCalls = (callerId: string, handlers: Map<string, Handler>): peers.PeerCalls => ({
    handle: (method, handler) => {
      handlers.set(method, handler);
    },
    call: async (address, method, params, timeoutMs): Promise<PeerResult> => {
      await sleep(latencyMs);
      const handler = nodes.get(address)?.handlers.get(method);
      if (!handler) return fail('unreachable', address, method);
      const timeout = sleep(timeoutMs).then(() => fail('timeout', address, method));
      if (isUnreachable(address) || isUnreachable(callerId)) return timeout;
      const answering = handler(copy(params), callerId).then(
        (value): PeerResult => errors.ok(copy(value)),
        () => fail('rejected', address, method),
      );
      const result = await Promise.race([answering, timeout]);
      await sleep(latencyMs);
      return isUnreachable(address) || isUnreachable(callerId)
        ? fail('timeout', address, method)
        : result;
    },
  });

  return {
    start: async (instanceId, overrides = {}) => {
      const incarnation = (incarnations.get(instanceId) ?? 0) + 1;
      incarnations.set(instanceId, incarnation);
      const member: peers.PeerMember = {
        instanceId,
        address: instanceId,
        region: 'region',
        failureDomain: 'domain',
        state: 'live',
        incarnation: `${instanceId}#${incarnation}`,
      };
      const handlers = new Map<string, Handler>();
      const ledger = createLedger({
        platform: client,
        membership: {
          self: () => member,
          members: listMembers,
          onChange: () => () => {},
          leave: () => {},
        },
        calls: createCalls(instanceId, handlers),
        clock: clockSource,
        timeline: telemetry.createTimeline(instanceId, clock.createHybridClock(clockSource)),
        log: telemetry.createLog({ level: 'silent', instanceId }),
        instanceId,
        random: () => 0.5,
        settings: options.settings ?? {},
        ...overrides,
      });
      await ledger.start?.();
      nodes.set(instanceId, { member, handlers });
      dead.delete(instanceId);
      isolated.delete(instanceId);
      return { ledger, instanceId };
    },
    isolate: (instanceId) => {
      isolated.add(instanceId);
    },
    kill: (instanceId) => {
      dead.add(instanceId);
    },
    heal: (instanceId) => {
      isolated.delete(instanceId);
      dead.delete(instanceId);
    },
  };
};
