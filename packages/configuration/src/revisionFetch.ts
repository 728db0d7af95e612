import * as zod from 'zod';
import { digestInput, type RevisionTable } from './createRevisionTable';
import { decodeDelta, encodeDelta } from './documentDelta';
import {
  revisionDeltaSchema,
  teamRevisionSchema,
  type RevisionDelta,
  type TeamRevision,
} from './TeamRevision';

/** Parameters of a fetch: the lowest acceptable revision, and the digest of the revision the caller has. */
export const fetchParamsSchema = zod.object({
  team: zod.string(),
  revision: zod.number(),
  basisDigest: zod.string().optional(),
});

const fetchResponseSchema = zod.union([teamRevisionSchema, revisionDeltaSchema]);

/** Creates the response to a fetch: a delta against the caller's revision if it is known here. */
export const createFetchResponse = (
  table: RevisionTable,
  found: TeamRevision,
  basisDigest: string | undefined,
): TeamRevision | RevisionDelta => {
  const { team, revision, digest, document } = found;
  const basis = basisDigest === undefined ? undefined : table.findByDigest(team, basisDigest);
  if (!basis?.document || !document) return found;
  const delta = encodeDelta(digestInput(document), digestInput(basis.document));
  return { team, revision, digest, delta };
};

/** Parses a response, decoding a delta against `basis`, the revision held when the call was made. */
export const parseFetchResponse = (
  response: unknown,
  basis: TeamRevision | undefined,
): TeamRevision | undefined => {
  const checked = fetchResponseSchema.safeParse(response);
  if (!checked.success) return undefined;
  if (!('delta' in checked.data)) return checked.data;
  const { delta, ...fields } = checked.data;
  if (!basis?.document) return undefined;
  try {
    const document: unknown = JSON.parse(decodeDelta(delta, digestInput(basis.document)));
    return teamRevisionSchema.safeParse({ ...fields, document }).data;
  } catch {
    return undefined;
  }
};
