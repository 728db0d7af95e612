import type { LossAssessment, LossAttribution, LossRecord, RecordedLoss } from './LossAttribution';

/** Requests that meet unrelated crashes rarely meet this many before one of their runs completes. */
const defaultMinLosses = 3;
/** Bounds the losses of requests that always run together, and so can't be told apart. */
const defaultMaxLosses = 6;

/**
 * Quarantines a request after some losses in which it leads: no other request that ran on the lost target is suspected
 * of as many losses. Needs no isolation of suspects, because two requests that were on the same lost targets both wait
 * for further runs to tell them apart, up to a limit.
 */
export class LeadingSuspectAttribution implements LossAttribution {
  constructor(
    private readonly minLosses = defaultMinLosses,
    private readonly maxLosses = defaultMaxLosses,
  ) {}

  assess<Loss extends RecordedLoss>(
    fingerprint: string,
    losses: readonly Loss[],
    record: LossRecord,
  ): LossAssessment<Loss> {
    const leadsAt = ({ targetKey }: RecordedLoss) =>
      record
        .suspectsOf(targetKey)
        .every((other) => other === fingerprint || record.lossCountOf(other) < losses.length);
    const isLeader = () => losses.filter(leadsAt).length >= this.minLosses;
    const isConclusive =
      losses.length >= this.maxLosses || (losses.length >= this.minLosses && isLeader());
    return { counted: losses, isConclusive };
  }
}
