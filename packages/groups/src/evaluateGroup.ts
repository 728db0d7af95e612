import { membersOf, type AssignedMember, type FabricDomainRecord } from './FabricDomainRecord';
import type { Observation } from './Presence';

/** Returns the probe results of an instance, or undefined if it was never probed. */
export type ObservationLookup = (instanceId: string) => Observation | undefined;

/** Why a group cannot accept requests. */
export type LossReason = 'gone' | 'restarted' | 'reassigned' | 'leaving' | 'silent';

/** The presence of a group as derived from probes. */
export type GroupPresence =
  | { readonly kind: 'complete'; readonly presentAtMs: number }
  | {
      readonly kind: 'lost';
      readonly reason: LossReason;
      readonly instanceId: string;
      /** When the loss was first detected. */
      readonly lostAtMs: number;
    }
  | { readonly kind: 'unknown' };

/** How long probes to an instance may fail before it counts as silent. */
export const silentAfterMs = 2_000;

const evaluateMember = (
  member: AssignedMember,
  generation: number,
  observation: Observation | undefined,
  nowMs: number,
): LossReason | 'present' | 'unknown' => {
  if (observation === undefined) return 'unknown';
  const { response, failedSinceMs, gone } = observation;
  if (gone) return 'gone';
  if (failedSinceMs !== undefined) {
    return nowMs - failedSinceMs >= silentAfterMs ? 'silent' : 'unknown';
  }
  if (response === undefined) return 'unknown';
  if (member.bootId !== undefined && response.bootId !== member.bootId) return 'restarted';
  const isAssigned = response.groupId === member.groupId && response.generation === generation;
  if (!isAssigned || response.phase !== 'ready') return 'reassigned';
  return response.leaving ? 'leaving' : 'present';
};

/**
 * Evaluates whether probes show every member of a loaded group present at the group's generation.
 */
export const evaluateGroup = (
  record: FabricDomainRecord,
  groupId: string,
  observe: ObservationLookup,
  nowMs: number,
): GroupPresence => {
  const { generation } = record.groups[groupId]!;
  const members = membersOf(record, groupId);
  const results = members.map((member) => ({
    instanceId: member.instanceId,
    status: evaluateMember(member, generation, observe(member.instanceId), nowMs),
  }));
  const isLoss = (status: string) => status !== 'present' && status !== 'unknown';
  const lost =
    results.find(({ status }) => isLoss(status) && status !== 'leaving') ??
    results.find(({ status }) => isLoss(status));
  if (lost) {
    const { instanceId, status } = lost;
    const { failedSinceMs, respondedProbeAtMs } = observe(instanceId)!;
    const lostAtMs = failedSinceMs ?? respondedProbeAtMs ?? nowMs;
    return { kind: 'lost', reason: status as LossReason, instanceId, lostAtMs };
  }
  if (results.some(({ status }) => status === 'unknown')) return { kind: 'unknown' };
  const probedAtMs = members.map(({ instanceId }) => observe(instanceId)!.respondedProbeAtMs!);
  return { kind: 'complete', presentAtMs: Math.min(...probedAtMs) };
};
