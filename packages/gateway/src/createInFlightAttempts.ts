/** An attempt in progress on a group. */
interface Attempt {
  readonly groupId: string;
  readonly generation: number;
  readonly abort: (reason: string) => void;
}

/** Tracks attempts in progress, so that those on a broken group can be aborted and resumed elsewhere. */
export interface InFlightAttempts {
  /** Adds an attempt. Returns a function that removes it. */
  readonly add: (attempt: Attempt) => () => void;
  /** Aborts the attempts on all generations of a group up to and including `generation`. */
  readonly abortGroup: (groupId: string, generation: number, reason: string) => void;
}

/** Creates a registry without attempts. */
export const createInFlightAttempts = (): InFlightAttempts => {
  const attempts = new Set<Attempt>();
  return {
    add: (attempt) => {
      attempts.add(attempt);
      return () => attempts.delete(attempt);
    },
    abortGroup: (groupId, generation, reason) =>
      [...attempts]
        .filter((attempt) => attempt.groupId === groupId && attempt.generation <= generation)
        .forEach((attempt) => attempt.abort(reason)),
  };
};
