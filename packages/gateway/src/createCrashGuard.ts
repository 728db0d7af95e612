import type * as clock from '@comfreydrum/clock';
import * as routing from '@comfreydrum/routing';
import type * as telemetry from '@comfreydrum/telemetry';
import { createPermitCoordinator, type PermitCoordinator } from './createPermitCoordinator';
import type { FleetLink } from './FleetLink';
import { readQuarantineUpdate } from './quarantineMessages';

/** Limits, across all daemons, how many targets a request that crashes its targets can take down. */
export interface CrashGuard {
  readonly permits: PermitCoordinator;
  readonly check: (fingerprint: string) => routing.QuarantineStatus;
  readonly lossesOf: (fingerprint: string) => readonly routing.LossUpdate[];
  readonly applyLosses: (losses: readonly routing.LossUpdate[]) => void;
  readonly onDispatch: (runId: string, fingerprint: string, target: routing.CrashTarget) => void;
  readonly onEnd: (runId: string, outcome: 'completed' | 'stopped') => void;
  /** Records the loss of a target; resolves once the live daemons know which requests it was running. */
  readonly onTargetLost: (target: routing.CrashTarget) => Promise<void>;
  /** Records the loss of a group that another daemon or the failure detectors found. */
  readonly onGroupBroken: (groupId: string, generation: number) => void;
  readonly stop: () => void;
}

/** Options of a crash guard. */
export interface CrashGuardOptions {
  readonly link: FleetLink;
  readonly clock: clock.Clock;
  readonly timeline: telemetry.Timeline;
  /** Called with each loss that this daemon detects or is notified of. */
  readonly onLost?: (target: routing.CrashTarget) => void;
}

const lossMethod = 'quarantine/loss';
const lossCallTimeoutMs = 250;
const updateLifetimeMs = 600_000;
/** The number of fingerprints that fit into one published update. */
const maxFingerprintsPerUpdate = 16;
const maxFailureDomains = 1_024;
const roleCheckIntervalMs = 500;
/** How long a stopped suspect keeps its permit, because the loss of its target may not be detected yet. */
const stoppedRunPermitMs = 2_500;

const chunk = <Item>(items: readonly Item[], size: number): readonly (readonly Item[])[] =>
  Array.from({ length: Math.ceil(items.length / size) }, (_, index) =>
    items.slice(index * size, (index + 1) * size),
  );

/** Creates a crash guard without recorded crashes. */
export const createCrashGuard = (options: CrashGuardOptions): CrashGuard => {
  const { link, timeline, onLost = () => {} } = options;
  const nowMs = () => options.clock.monotonicMs();
  const quarantine = routing.createQuarantine();
  const permits = createPermitCoordinator(link, options.clock, quarantine);
  /** The failure domains of the targets of recent requests, by target. */
  const failureDomains = new Map<string, string>();
  /** The loss notifications to other daemons in progress, by target. */
  const notifications = new Map<string, Promise<void>>();

  const applyUpdate = (value: unknown) => {
    const update = readQuarantineUpdate(value);
    if (update === undefined) return;
    quarantine.onUpdate(update, nowMs());
    if (update.kind !== 'loss') return;
    onLost(update.target);
    const fingerprints = permits.onTargetLost(update.target);
    quarantine.onUpdate({ ...update, fingerprints }, nowMs());
  };

  const publish = (update: routing.LossUpdate) =>
    chunk(update.fingerprints, maxFingerprintsPerUpdate).forEach((fingerprints, index) => {
      const key = `loss/${routing.targetKeyOf(update.target)}/${index}`;
      link.publish('quarantine', key, { ...update, fingerprints }, updateLifetimeMs);
    });

  const notifyPeers = async (update: routing.LossUpdate) => {
    publish(update);
    const peerIds = link.liveIds().filter((instanceId) => instanceId !== link.selfId);
    await Promise.all(
      peerIds.map((instanceId) => link.call(instanceId, lossMethod, update, lossCallTimeoutMs)),
    );
  };

  /**
   * Records the loss of a target. The requests that this daemon ran there, and the suspects that it permitted
   * to run there, become suspects of the loss.
   */
  const recordLoss = (target: routing.CrashTarget): routing.LossUpdate => {
    onLost(target);
    const permitted = permits.onTargetLost(target);
    const own = quarantine.onTargetLost(target, nowMs());
    const fingerprints = [...new Set([...own.fingerprints, ...permitted])];
    const update = { ...own, fingerprints };
    quarantine.onUpdate({ ...update, fingerprints: permitted }, nowMs());
    return update;
  };

  const onTargetLost = (target: routing.CrashTarget): Promise<void> => {
    const update = recordLoss(target);
    const targetKey = routing.targetKeyOf(target);
    if (update.fingerprints.length === 0) return notifications.get(targetKey) ?? Promise.resolve();
    timeline.record('target lost', {
      groupId: target.targetId,
      generation: target.generation,
      text: `${update.fingerprints.length} requests are suspect`,
    });
    const notification = notifyPeers(update).finally(() => notifications.delete(targetKey));
    notifications.set(targetKey, notification);
    return notification;
  };

  const recordFailureDomain = (target: routing.CrashTarget) => {
    const key = routing.targetKeyOf(target);
    failureDomains.delete(key);
    failureDomains.set(key, target.failureDomain);
    if (failureDomains.size <= maxFailureDomains) return;
    const [oldest] = failureDomains.keys();
    failureDomains.delete(oldest!);
  };

  link.handle(lossMethod, (params) => {
    applyUpdate(params);
    return true;
  });
  const roleCheckTimer = setInterval(permits.checkRole, roleCheckIntervalMs).unref();
  const unsubscribe = link.onUpdate('quarantine', ({ value }) => applyUpdate(value));

  return {
    permits,
    check: (fingerprint) => quarantine.check(fingerprint, nowMs()),
    lossesOf: (fingerprint) => quarantine.lossesOf(fingerprint, nowMs()),
    applyLosses: (losses) => losses.forEach((loss) => quarantine.onUpdate(loss, nowMs())),
    onDispatch: (runId, fingerprint, target) => {
      recordFailureDomain(target);
      quarantine.onDispatch(runId, fingerprint, target, nowMs());
    },
    onEnd: (runId, outcome) => {
      if (outcome === 'completed') permits.release(runId);
      else if (permits.hasPermit(runId))
        setTimeout(() => permits.release(runId), stoppedRunPermitMs).unref();
      const cleared = quarantine.onEnd(runId, outcome, nowMs());
      if (cleared === undefined) return;
      link.publish('quarantine', `cleared/${cleared.fingerprint}`, cleared, updateLifetimeMs);
    },
    onTargetLost,
    onGroupBroken: (groupId, generation) => {
      const key = routing.targetKeyOf({ targetId: groupId, generation });
      const failureDomain = failureDomains.get(key) ?? '';
      void onTargetLost({ targetId: groupId, generation, failureDomain });
    },
    stop: () => {
      clearInterval(roleCheckTimer);
      unsubscribe();
    },
  };
};
