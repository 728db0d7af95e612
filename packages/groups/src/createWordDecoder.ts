import type { GroupAt } from './createEvidence';
import { lossReasons, type PresenceNews, type WordRow } from './PresenceNews';
import { groupTagOf, tagLength, tagOf } from './tagOf';

/** Decodes one part of a report, omitting groups and instances unknown to this daemon. */
export type WordDecoder = (row: WordRow) => PresenceNews;

/** The groups and instances known to this daemon; each change must return a new array. */
export interface WordDecoderOptions {
  readonly groups: () => readonly (GroupAt & {
    readonly members: readonly { readonly instanceId: string }[];
  })[];
  readonly listed: () => readonly { readonly instanceId: string }[];
}

const splitTags = (tags: string): readonly string[] =>
  Array.from({ length: Math.floor(tags.length / tagLength) }, (_, index) =>
    tags.slice(index * tagLength, (index + 1) * tagLength),
  );

/** Creates a decoder that indexes the known groups and instances by tag. */
export const createWordDecoder = (options: WordDecoderOptions): WordDecoder => {
  let groups: ReturnType<WordDecoderOptions['groups']> = [];
  let listed: ReturnType<WordDecoderOptions['listed']> = [];
  let groupsByTag = new Map<string, GroupAt>();
  let instancesByTag = new Map<string, string>();

  const follow = () => {
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

  const groupsOf = (tags: string): readonly GroupAt[] =>
    splitTags(tags).flatMap((tag) => groupsByTag.get(tag) ?? []);

  const instancesOf = (tags: string): readonly string[] =>
    splitTags(tags).flatMap((tag) => instancesByTag.get(tag) ?? []);

  return ([sender, sentAtMs, present, lost, absent, leaving]) => {
    follow();
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
