import type * as peers from '@comfreydrum/peers';
import type * as telemetry from '@comfreydrum/telemetry';
import type { DelayEstimator } from './createDelayEstimator';
import type { UpdatableDirectory, KnownGroup } from './createDirectory';
import type { DaemonRoles } from './createDaemonRoles';
import type { FleetView } from './createFleetView';
import type { ReportDecoder } from './createReportDecoder';
import { presenceReportLifetimeMs, reportRowSchema, type PresenceReport } from './PresenceReport';
import { clockReportKey, firstPartKeyOf, publishReport } from './publishReport';

/**
 * Receives presence reports of watchers, and losses that other daemons saw while serving requests.
 */
export interface PresenceReceiver {
  readonly onMessage: (item: peers.BusMessage) => void;
  /** Applies this daemon's own report on a fabric domain. */
  readonly onOwnReport: (fabricDomain: string, report: PresenceReport) => void;
}

/** Dependencies of the presence receiver. */
export interface PresenceReceiverOptions {
  readonly log: telemetry.Log;
  readonly estimator: DelayEstimator;
  readonly directory: UpdatableDirectory;
  readonly view: FleetView;
  readonly roles: DaemonRoles;
  readonly decode: ReportDecoder;
}

/** The key prefix of a loss seen while serving requests. */
const lossKeyPrefix = 'loss of ';

/** Creates the presence receiver of a daemon. */
export const createPresenceReceiver = (options: PresenceReceiverOptions): PresenceReceiver => {
  const { directory, view } = options;
  return {
    onOwnReport: (fabricDomain, report) => {
      view.onReport(fabricDomain, report);
      directory.onReport(report, 0, 0);
    },
    onMessage: ({ key, origin, value, remainingMs }) => {
      const checked = reportRowSchema.safeParse(value);
      if (!checked.success) {
        options.log.warn({ step: 'read presence news', peer: origin }, checked.error.message);
        return;
      }
      const report = options.decode(checked.data);
      const firstPartKey = firstPartKeyOf(key);
      const isOnDomain = !key.startsWith(lossKeyPrefix) && key !== clockReportKey;
      if (isOnDomain) options.roles.recordReport(firstPartKey ?? key, origin, report);
      if (isOnDomain && firstPartKey === undefined) view.onReport(key, report);
      const delayMs = options.estimator.delayMs(report.sender, report.sentAtMs) ?? Infinity;
      directory.onReport(report, presenceReportLifetimeMs - remainingMs, delayMs);
    },
  };
};

/** Publishes a loss that this daemon saw while serving requests. */
export const publishLoss = (
  messageBus: peers.MessageBus,
  { groupId, generation }: KnownGroup,
  sender: string,
  sentAtMs: number,
): void => {
  const report: PresenceReport = {
    sender,
    sentAtMs,
    present: [],
    lost: [[groupId, generation, 0, 'reported']],
    absent: [],
    leaving: [],
  };
  publishReport(messageBus, `${lossKeyPrefix}${groupId}`, report);
};
