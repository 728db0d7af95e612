import type { Configuration } from './configurationSchema';
import type { TeamRevision } from './TeamRevision';

/** The outcome of a merge; every one but `newer` leaves the table unchanged. */
export type MergeOutcome = 'newer' | 'same' | 'older' | 'contradicts' | 'damaged';

/** The revisions known to this instance; a revision is never replaced by a lower one. */
export interface RevisionTable {
  readonly merge: (revision: TeamRevision) => MergeOutcome;
  readonly find: (team: string) => TeamRevision | undefined;
  /** Returns the revision in force or the previous one, whichever has the digest. */
  readonly findByDigest: (team: string, digest: string) => TeamRevision | undefined;
  readonly all: () => readonly TeamRevision[];
  readonly documents: () => readonly Configuration[];
  readonly digest: () => string;
}

/** Returns the text over which the digest of a document is computed. */
export const digestInput = (document: Configuration | null): string => JSON.stringify(document);

/** Creates an empty table; `hash` computes the digests. */
export const createRevisionTable = (hash: (text: string) => string): RevisionTable => {
  const revisions = new Map<string, TeamRevision>();
  const previous = new Map<string, TeamRevision>();

  const all = () =>
    [...revisions.values()].sort((left, right) => (left.team < right.team ? -1 : 1));

  const computeDigest = () =>
    hash(
      all()
        .map(({ team, revision, digest }) => `${team} ${revision} ${digest}`)
        .join('\n'),
    );

  let documents: readonly Configuration[] = [];
  let digest = computeDigest();

  return {
    merge: (revision) => {
      const known = revisions.get(revision.team);
      if (known && known.revision > revision.revision) return 'older';
      if (known?.revision === revision.revision) {
        return known.digest === revision.digest ? 'same' : 'contradicts';
      }
      if (hash(digestInput(revision.document)) !== revision.digest) return 'damaged';
      if (known) previous.set(revision.team, known);
      revisions.set(revision.team, revision);
      documents = all().flatMap(({ document }) => (document === null ? [] : [document]));
      digest = computeDigest();
      return 'newer';
    },
    find: (team) => revisions.get(team),
    findByDigest: (team, wanted) =>
      [revisions.get(team), previous.get(team)].find((revision) => revision?.digest === wanted),
    all,
    documents: () => documents,
    digest: () => digest,
  };
};
