/** What is known about whether a request ran. */
export type RanState = 'not-run' | 'ran' | 'unknown';
