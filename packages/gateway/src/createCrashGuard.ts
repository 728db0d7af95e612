import type * as clock from '@comfreydrum/clock';
import * as routing from '@comfreydrum/routing';
import type * as telemetry from '@comfreydrum/telemetry';
import { createPermitKeeper, type PermitKeeper } from './createPermitKeeper';
import type { FleetLink } from './FleetLink';
import { readQuarantineNews } from './quarantineMessages';

/** Limits, across all daemons, how many targets a request that crashes its targets can take down. */
export interface CrashGuard {
  readonly permits: PermitKeeper;
  readonly check: (fingerprint: string) => routing.Verdict;
  readonly lossesOf: (fingerprint: string) => readonly routing.LossNews[];
  readonly takeLosses: (losses: readonly routing.LossNews[]) => void;
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
const tellTimeoutMs = 250;
const newsLifetimeMs = 600_000;
/** The number of fingerprints that fit into one published update. */
const fingerprintsPerItem = 16;
const maxDomains = 1_024;
const watchEveryMs = 500;
/** How long a stopped suspect keeps its permit, because the loss of its target may not be detected yet. */
const lingerMs = 2_500;

const chunk = <Item>(items: readonly Item[], size: number): readonly (readonly Item[])[] =>
  Array.from({ length: Math.ceil(items.length / size) }, (_, index) =>
    items.slice(index * size, (index + 1) * size),
  );

/** Creates a crash guard without recorded crashes. */
export const createCrashGuard = (options: CrashGuardOptions): CrashGuard => {
  const { link, timeline, onLost = () => {} } = options;
  const nowMs = () => options.clock.monotonicMs();
  const quarantine = routing.createQuarantine();
  const permits = createPermitKeeper(link, options.clock, quarantine);
  /** The failure domains of the targets of recent requests, by target. */
  const domains = new Map<string, string>();
  /** The loss notifications to other daemons in progress, by target. */
  const telling = new Map<string, Promise<void>>();

  const takeNews = (value: unknown) => {
    const news = readQuarantineNews(value);
    if (news === undefined) return;
    quarantine.onNews(news, nowMs());
    if (news.kind !== 'loss') return;
    onLost(news.target);
    const fingerprints = permits.onTargetLost(news.target);
    quarantine.onNews({ ...news, fingerprints }, nowMs());
  };

  const publish = (news: routing.LossNews) =>
    chunk(news.fingerprints, fingerprintsPerItem).forEach((fingerprints, index) => {
      const key = `loss/${routing.targetKeyOf(news.target)}/${index}`;
      link.publish('quarantine', key, { ...news, fingerprints }, newsLifetimeMs);
    });

  const tell = async (news: routing.LossNews) => {
    publish(news);
    const others = link.liveIds().filter((instanceId) => instanceId !== link.selfId);
    await Promise.all(
      others.map((instanceId) => link.call(instanceId, lossMethod, news, tellTimeoutMs)),
    );
  };

  /**
   * Records the loss of a target. The requests that this daemon ran there, and the suspects that it permitted
   * to run there, become suspects of the loss.
   */
  const noteLoss = (target: routing.CrashTarget): routing.LossNews => {
    onLost(target);
    const permitted = permits.onTargetLost(target);
    const own = quarantine.onTargetLost(target, nowMs());
    const fingerprints = [...new Set([...own.fingerprints, ...permitted])];
    const news = { ...own, fingerprints };
    quarantine.onNews({ ...news, fingerprints: permitted }, nowMs());
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
    takeLosses: (losses) => losses.forEach((loss) => quarantine.onNews(loss, nowMs())),
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
