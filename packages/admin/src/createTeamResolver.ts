import { createHash, timingSafeEqual } from 'node:crypto';

/** Returns the teams that the bearer of a token may change; `*` stands for every team. */
export type TeamResolver = (authorization: string | undefined) => readonly string[];

/** Creates a resolver that compares token digests in constant time. */
export const createTeamResolver = (
  tokens: readonly { readonly team: string; readonly tokenSha256: string }[],
): TeamResolver => {
  const entries = tokens.map(({ team, tokenSha256 }) => ({
    team,
    digest: Buffer.from(tokenSha256, 'hex'),
  }));
  return (authorization = '') => {
    const token = authorization.startsWith('Bearer ') ? authorization.slice('Bearer '.length) : '';
    const digest = createHash('sha256').update(token).digest();
    return entries.filter((entry) => timingSafeEqual(entry.digest, digest)).map(({ team }) => team);
  };
};
