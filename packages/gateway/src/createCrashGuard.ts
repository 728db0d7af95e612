import type * as clock from '@comfreydrum/clock';
import * as routing from '@comfreydrum/routing';
import type * as telemetry from '@comfreydrum/telemetry';
import { createPermitKeeper, type PermitKeeper } from './createPermitKeeper';
import type { FleetLink } from './FleetLink';
import { readQuarantineNews } from './quarantineMessages';

/** Keeps requests that crash their targets from crashing more of them, over all daemons. */
export interface CrashGuard {
  readonly permits: PermitKeeper;
  readonly check: (fingerprint: string) => routing.QuarantineStatus;
  readonly lossesOf: (fingerprint: string) => readonly routing.LossUpdate[];
  readonly takeLosses: (losses: readonly routing.LossUpdate[]) => void;
  readonly onDispatch: (runId: string, fingerprint: string, target: routing.CrashTarget) => void;
  readonly onEnd: (runId: string, outcome: 'completed' | 'stopped') => void;
  /** Takes the loss of a target; settles once the live daemons were told what it was running. */
  readonly onTargetLost: (target: routing.CrashTarget) => Promise<void>;
  /** Takes the loss of a group that another daemon or the watchers found. */
  readonly onGroupBroken: (groupId: string, generation: number) => void;
  readonly stop: () => void;
}

/** What a guard needs of the daemon. */
export interface CrashGuardOptions {
  readonly link: FleetLink;
  readonly clock: clock.Clock;
  readonly timeline: telemetry.Timeline;
  /** Called with each loss that this daemon sees or hears of. */
  readonly onLost?: (target: routing.CrashTarget) => void;
}

const lossMethod = 'quarantine/loss';
const tellTimeoutMs = 250;
const newsLifetimeMs = 600_000;
/** How many fingerprints fit into one item of news. */
const fingerprintsPerItem = 16;
const maxDomains = 1_024;
const watchEveryMs = 500;
/** How long a stopped suspect keeps its permit, as its target may be about to be lost. */
const lingerMs = 2_500;

const chunk = <Item>(items: readonly Item[], size: number): readonly (readonly Item[])[] =>
  Array.from({ length: Math.ceil(items.length / size) }, (_, index) =>
    items.slice(index * size, (index + 1) * size),
  );

/** Creates a guard that knows of no crash. */
export const createCrashGuard = (options: CrashGuardOptions): CrashGuard => {
  const { link, timeline, onLost = () => {} } = options;
  const nowMs = () => options.clock.monotonicMs();
  const quarantine = routing.createQuarantine();
  const permits = createPermitKeeper(link, options.clock, quarantine);
  /** The failure domains of the targets that were sent to lately. */
  const domains = new Map<string, string>();
  /** The losses that are being told to the others, by target. */
  const telling = new Map<string, Promise<void>>();

  const takeNews = (value: unknown) => {
    const news = readQuarantineNews(value);
    if (news === undefined) return;
    quarantine.onUpdate(news, nowMs());
    if (news.kind !== 'loss') return;
    onLost(news.target);
    const fingerprints = permits.onTargetLost(news.target);
    quarantine.onUpdate({ ...news, fingerprints }, nowMs());
  };

  const publish = (news: routing.LossUpdate) =>
    chunk(news.fingerprints, fingerprintsPerItem).forEach((fingerprints, index) => {
      const key = `loss/${routing.targetKeyOf(news.target)}/${index}`;
      link.publish('quarantine', key, { ...news, fingerprints }, newsLifetimeMs);
    });

  const tell = async (news: routing.LossUpdate) => {
    publish(news);
    const others = link.liveIds().filter((instanceId) => instanceId !== link.selfId);
    await Promise.all(
      others.map((instanceId) => link.call(instanceId, lossMethod, news, tellTimeoutMs)),
    );
  };

  /** Blames what ran on a lost target here, and the suspects that ran there by our permit. */
  const noteLoss = (target: routing.CrashTarget): routing.LossUpdate => {
    onLost(target);
    const permitted = permits.onTargetLost(target);
    const own = quarantine.onTargetLost(target, nowMs());
    const fingerprints = [...new Set([...own.fingerprints, ...permitted])];
    const news = { ...own, fingerprints };
    quarantine.onUpdate({ ...news, fingerprints: permitted }, nowMs());
    return news;
  };

  const onTargetLost = (target: routing.CrashTarget): Promise<void> => {
    const news = noteLoss(target);
    const targetKey = routing.targetKeyOf(target);
    if (news.fingerprints.length === 0) return telling.get(targetKey) ?? Promise.resolve();
    timeline.record('target lost', {
      groupId: target.targetId,
      generation: target.generation,
      text: `${news.fingerprints.length} requests are suspect`,
    });
    const told = tell(news).finally(() => telling.delete(targetKey));
    telling.set(targetKey, told);
    return told;
  };

  const rememberDomain = (target: routing.CrashTarget) => {
    const key = routing.targetKeyOf(target);
    domains.delete(key);
    domains.set(key, target.failureDomain);
    if (domains.size <= maxDomains) return;
    const [oldest] = domains.keys();
    domains.delete(oldest!);
  };

  link.handle(lossMethod, (params) => {
    takeNews(params);
    return true;
  });
  const watching = setInterval(permits.watch, watchEveryMs).unref();
  const stopNews = link.onNews('quarantine', ({ value }) => takeNews(value));

  return {
    permits,
    check: (fingerprint) => quarantine.check(fingerprint, nowMs()),
    lossesOf: (fingerprint) => quarantine.lossesOf(fingerprint, nowMs()),
    takeLosses: (losses) => losses.forEach((loss) => quarantine.onUpdate(loss, nowMs())),
    onDispatch: (runId, fingerprint, target) => {
      rememberDomain(target);
      quarantine.onDispatch(runId, fingerprint, target, nowMs());
    },
    onEnd: (runId, outcome) => {
      if (outcome === 'completed') permits.release(runId);
      else if (permits.holds(runId)) setTimeout(() => permits.release(runId), lingerMs).unref();
      const cleared = quarantine.onEnd(runId, outcome, nowMs());
      if (cleared === undefined) return;
      link.publish('quarantine', `cleared/${cleared.fingerprint}`, cleared, newsLifetimeMs);
    },
    onTargetLost,
    onGroupBroken: (groupId, generation) => {
      const key = routing.targetKeyOf({ targetId: groupId, generation });
      const failureDomain = domains.get(key) ?? '';
      void onTargetLost({ targetId: groupId, generation, failureDomain });
    },
    stop: () => {
      clearInterval(watching);
      stopNews();
    },
  };
};
