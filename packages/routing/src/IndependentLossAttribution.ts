import type { LossAssessment, LossAttribution, LossRecord, RecordedLoss } from './LossAttribution';

/**
 * A loss isn't attributed to a request if at least this many other targets, on which the request
 * did not run, were lost in the same failure domain at about the same time.
 */
const minUnrelatedLosses = 2;
const minIndependentLosses = 2;

/** Whether two losses may be in the same failure domain; the domain of a loss may still be unknown. */
const mayShareDomain = (left: RecordedLoss, right: RecordedLoss): boolean =>
  left.failureDomain === right.failureDomain ||
  left.failureDomain === '' ||
  right.failureDomain === '';

/**
 * Quarantines a request after two independent losses, at different times or in different failure
 * domains. Suspects must run one to a target, because all requests that are on two lost targets are
 * quarantined.
 */
export class IndependentLossAttribution implements LossAttribution {
  /** Targets lost within `correlationMs` of each other may have been lost for the same reason. */
  constructor(private readonly correlationMs: number) {}

  assess<Loss extends RecordedLoss>(
    fingerprint: string,
    losses: readonly Loss[],
    record: LossRecord,
  ): LossAssessment<Loss> {
    const counted = losses.filter((loss) => !this.isUnrelated(fingerprint, loss, record));
    return { counted, isConclusive: this.countIndependent(counted) >= minIndependentLosses };
  }

  /** Whether a failure of the whole domain, rather than the request, explains a loss. */
  private isUnrelated(fingerprint: string, loss: RecordedLoss, record: LossRecord): boolean {
    let count = 0;
    for (const other of record.losses()) {
      const isNear = Math.abs(other.atMs - loss.atMs) <= this.correlationMs;
      const isOther = !record.wasRunningOn(fingerprint, other.targetKey);
      if (isNear && isOther && mayShareDomain(loss, other)) count += 1;
    }
    return count >= minUnrelatedLosses;
  }

  /** Counts losses; those close in time in one failure domain count once, as they may share a cause. */
  private countIndependent(counted: readonly RecordedLoss[]): number {
    return counted.filter(
      (loss, index) =>
        !counted.some((earlier, earlierIndex) => {
          const isEarlier =
            earlier.atMs < loss.atMs || (earlier.atMs === loss.atMs && earlierIndex < index);
          const isSameDomain = earlier.failureDomain === loss.failureDomain;
          return isEarlier && isSameDomain && loss.atMs - earlier.atMs <= this.correlationMs;
        }),
    ).length;
  }
}
