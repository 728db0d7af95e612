import * as zod from 'zod';

/** The kind of the platform objects that store the groups of a fabric domain and their members. */
export const fabricDomainKind = 'fabric-domain';

const assignmentSchema = zod
  .object({
    groupId: zod.string(),
    rank: zod.number().int().nonnegative(),
    url: zod.string(),
    failureDomain: zod.string(),
    acceleratorCount: zod.number(),
    /** The process run of the target that loaded the group; unset until the group is ready. */
    bootId: zod.string().optional(),
  })
  .readonly();

const groupRecordSchema = zod
  .object({
    team: zod.string(),
    modelName: zod.string(),
    modelVersion: zod.string(),
    adapters: zod.array(zod.string()).readonly(),
    targetKind: zod.string(),
    maxConcurrent: zod.number(),
    phase: zod.enum(['planned', 'loading', 'ready', 'serving', 'broken', 'draining']),
    /** The fencing token with which the members were last ordered to load. */
    generation: zod.number().int(),
  })
  .readonly();

/**
 * The stored record of one fabric domain.
 *
 * `assignments` is keyed by instance, so a record cannot assign one instance to two groups.
 */
export const fabricDomainSchema = zod
  .object({
    /** Increases with every change of the record. */
    generation: zod.number().int(),
    /** The process run of the daemon that wrote the record, and the id of that write. */
    writer: zod.string(),
    writeId: zod.string(),
    groups: zod.record(zod.string(), groupRecordSchema).readonly(),
    assignments: zod.record(zod.string(), assignmentSchema).readonly(),
  })
  .readonly();

export type Assignment = zod.infer<typeof assignmentSchema>;
export type GroupRecord = zod.infer<typeof groupRecordSchema>;
export type GroupPhase = GroupRecord['phase'];
export type FabricDomainRecord = zod.infer<typeof fabricDomainSchema>;

/** The record of a fabric domain before its first write. */
export const emptyFabricDomainRecord: FabricDomainRecord = {
  generation: 0,
  writer: '',
  writeId: '',
  groups: {},
  assignments: {},
};

/**
 * Returns a version key for everything a group loads, so that the placement policy treats a change
 * of the model version or of the adapters as a new version. The order of the adapters does not
 * matter.
 */
export const loadedVersionKey = (loaded: {
  readonly modelVersion: string;
  readonly adapters: readonly string[];
}): string => JSON.stringify([loaded.modelVersion, ...new Set([...loaded.adapters].sort())]);

/** An assigned instance with its id. */
export interface AssignedMember extends Assignment {
  readonly instanceId: string;
}

/** Returns the members of a group in rank order. */
export const membersOf = (record: FabricDomainRecord, groupId: string): readonly AssignedMember[] =>
  Object.entries(record.assignments)
    .filter(([, assignment]) => assignment.groupId === groupId)
    .map(([instanceId, assignment]) => ({ instanceId, ...assignment }))
    .sort((left, right) => left.rank - right.rank);
