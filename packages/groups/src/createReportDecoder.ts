import type { GroupGeneration } from './createEvidenceStore';
import { lossReasons, type PresenceReport, type ReportRow } from './PresenceReport';
import { groupTagOf, tagLength, tagOf } from './tagOf';

/** Decodes one part of a report, omitting groups and instances unknown to this daemon. */
export type ReportDecoder = (row: ReportRow) => PresenceReport;

/** The groups and instances known to this daemon; each change must return a new array. */
export interface ReportDecoderOptions {
  readonly groups: () => readonly (GroupGeneration & {
    readonly members: readonly { readonly instanceId: string }[];
  })[];
  readonly listed: () => readonly { readonly instanceId: string }[];
}

const splitTags = (tags: string): readonly string[] =>
  Array.from({ length: Math.floor(tags.length / tagLength) }, (_, index) =>
    tags.slice(index * tagLength, (index + 1) * tagLength),
  );

/** Creates a decoder that indexes the known groups and instances by tag. */
export const createReportDecoder = (options: ReportDecoderOptions): ReportDecoder => {
  let groups: ReturnType<ReportDecoderOptions['groups']> = [];
  let listed: ReturnType<ReportDecoderOptions['listed']> = [];
  let groupsByTag = new Map<string, GroupGeneration>();
  let instancesByTag = new Map<string, string>();

  const refreshIndex = () => {
    if (groups === options.groups() && listed === options.listed()) return;
    groups = options.groups();
    listed = options.listed();
    groupsByTag = new Map(
      groups.map((group) => [groupTagOf(group.groupId, group.generation), group]),
    );
    instancesByTag = new Map(
      [...groups.flatMap(({ members }) => members), ...listed].map(({ instanceId }) => [
        tagOf(instanceId),
        instanceId,
      ]),
    );
  };

  const groupsOf = (tags: string): readonly GroupGeneration[] =>
    splitTags(tags).flatMap((tag) => groupsByTag.get(tag) ?? []);

  const instancesOf = (tags: string): readonly string[] =>
    splitTags(tags).flatMap((tag) => instancesByTag.get(tag) ?? []);

  return ([sender, sentAtMs, present, lost, absent, leaving]) => {
    refreshIndex();
    return {
      sender,
      sentAtMs,
      present: present.flatMap(([ageMs, tags]) =>
        groupsOf(tags).map(({ groupId, generation }) => [groupId, generation, ageMs] as const),
      ),
      lost: lost.flatMap(([reason, ageMs, tags]) =>
        groupsOf(tags).map(
          ({ groupId, generation }) => [groupId, generation, ageMs, lossReasons[reason]!] as const,
        ),
      ),
      absent: instancesOf(absent),
      leaving: instancesOf(leaving),
    };
  };
};
