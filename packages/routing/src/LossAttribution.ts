/** A recorded loss of a target. */
export interface RecordedLoss {
  readonly targetKey: string;
  /** Empty if it is not known yet. */
  readonly failureDomain: string;
  readonly atMs: number;
}

/** Read access to the losses that a quarantine has recorded. */
export interface LossRecord {
  readonly losses: () => Iterable<RecordedLoss>;
  /** Whether a request was running on a target when it was lost. */
  readonly wasRunningOn: (fingerprint: string, targetKey: string) => boolean;
  /** Returns the requests that are suspected of the loss of a target. */
  readonly suspectsOf: (targetKey: string) => readonly string[];
  /** Returns the number of targets of whose loss a request is suspected. */
  readonly lossCountOf: (fingerprint: string) => number;
}

/** The losses that may have been caused by a request, and whether they are enough to quarantine it. */
export interface LossAssessment<Loss extends RecordedLoss> {
  readonly counted: readonly Loss[];
  readonly isConclusive: boolean;
}

/** Decides which losses are attributed to a request. */
export interface LossAttribution {
  /** Assesses the losses of targets on which a request was running. */
  readonly assess: <Loss extends RecordedLoss>(
    fingerprint: string,
    losses: readonly Loss[],
    record: LossRecord,
  ) => LossAssessment<Loss>;
}
