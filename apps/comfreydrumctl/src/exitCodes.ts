/** Exit codes of the command-line tool. */
export const exitCodes = {
  success: 0,
  failure: 1,
  usage: 2,
  conflict: 3,
  unavailable: 4,
} as const;
