import type * as telemetry from '@comfreydrum/telemetry';
import type { Candidate } from '../chooseTarget';
import type { ProcessCheck } from './createProcessCheck';

/** One run of a request on a target. */
export interface MonitoredRun {
  readonly requestId: string | undefined;
  readonly fingerprint: string;
  readonly candidate: Candidate;
}

/** Finds out which requests were running on targets whose processes end. */
export interface CrashMonitor {
  /** Checks the target of a run whose connection broke. */
  readonly onBroken: (run: MonitoredRun) => void;
}

/** Dependencies of the monitor. */
export interface CrashMonitorOptions {
  readonly log: telemetry.Log;
  readonly processCheck: ProcessCheck;
  readonly losses: telemetry.Counter;
}

/** Creates a monitor that logs the requests that targets were running when they ended. */
export const createCrashMonitor = ({
  log,
  processCheck,
  losses,
}: CrashMonitorOptions): CrashMonitor => ({
  onBroken: ({ requestId, fingerprint, candidate }) => {
    void processCheck.hasEnded(candidate).then((hasEnded) => {
      if (!hasEnded) return;
      losses.add({});
      log.info(
        {
          requestId,
          step: 'crash',
          fingerprint,
          targetId: candidate.targetId,
          group: candidate.groupKey,
          peer: candidate.address,
        },
        'target ended while it ran the request',
      );
    });
  },
});
