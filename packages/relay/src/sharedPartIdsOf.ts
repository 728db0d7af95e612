import type { CallerRequest } from './CallerRequest';

/** Returns the different parts of a request's prompt that other requests may share: all but the last one. */
export const sharedPartIdsOf = ({
  promptPartIds,
}: Pick<CallerRequest, 'promptPartIds'>): readonly string[] => [
  ...new Set(promptPartIds.slice(0, -1)),
];
