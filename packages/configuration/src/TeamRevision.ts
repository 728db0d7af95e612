import * as zod from 'zod';
import { configurationSchema, type Configuration } from './configurationSchema';

/** One revision of the configuration of one team; a removed team has no document. */
export interface TeamRevision {
  readonly team: string;
  readonly revision: number;
  /** Digest of the document, with which a copy received from a peer is verified. */
  readonly digest: string;
  readonly document: Configuration | null;
}

const maxDigestLength = 16;
const revisionFields = {
  revision: zod.number().int().positive(),
  digest: zod.string().max(maxDigestLength),
  document: configurationSchema.nullable(),
};

/** The value of the platform object of a team. */
export const storedRevisionSchema = zod.object({
  ...revisionFields,
  /** Ids of the latest applies, newest last; shows a writer whether its write took effect. */
  applyIds: zod.array(zod.string()),
});

/** A revision with its whole document, as sent by a peer. */
export const teamRevisionSchema = zod.object({ team: zod.string(), ...revisionFields });

/** A revision encoded as a delta against one that the receiver has. */
export const revisionDeltaSchema = zod.object({
  team: zod.string(),
  revision: revisionFields.revision,
  digest: revisionFields.digest,
  delta: zod.string(),
});

export type RevisionDelta = Readonly<zod.infer<typeof revisionDeltaSchema>>;

/** The revisions of a peer: team name, revision and digest of each. */
export const revisionSummarySchema = zod.array(
  zod.tuple([zod.string(), zod.number().int().positive(), zod.string().max(maxDigestLength)]),
);

/** The value of a message that announces a revision: revision and digest. */
export const revisionAnnouncementSchema = zod.tuple([
  zod.number().int().positive(),
  zod.string().max(maxDigestLength),
]);

/**
 * The value of the beacon: digest over all teams, then age and version of the latest platform
 * confirmation, null when there is none.
 */
export const beaconSchema = zod.tuple([
  zod.string().max(maxDigestLength),
  zod.number().int().nonnegative().nullable(),
  zod.number().int().nonnegative().nullable(),
]);
