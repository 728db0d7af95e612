import type { LossAssessment, LossAttribution, LossRecord, RecordedLoss } from './LossAttribution';

/** Requests that meet unrelated crashes rarely meet this many before one of their runs completes. */
const defaultMinLosses = 3;

/**
 * Quarantines a request after some losses in which it leads: no other request that ran on the lost target is suspected
 * of as many losses. Needs no isolation of suspects, because two requests that were on the same lost targets both wait
 * for a further run to tell them apart.
 */
export class LeadingSuspectAttribution implements LossAttribution {
  constructor(private readonly minLosses = defaultMinLosses) {}

  assess<Loss extends RecordedLoss>(
    fingerprint: string,
    losses: readonly Loss[],
    record: LossRecord,
  ): LossAssessment<Loss> {
    const leadsAt = ({ targetKey }: RecordedLoss) =>
      record
        .suspectsOf(targetKey)
        .every((other) => other === fingerprint || record.lossCountOf(other) < losses.length);
    const isConclusive =
      losses.length >= this.minLosses && losses.filter(leadsAt).length >= this.minLosses;
    return { counted: losses, isConclusive };
  }
}
