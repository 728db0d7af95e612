import type { Candidate } from '../chooseTarget';

/** Reports whether a target wants nothing from this daemon now. */
export const isPaused = ({ pausedUntilMs = -Infinity }: Candidate, nowMs: number): boolean =>
  pausedUntilMs > nowMs;
