/** Whether a target has run a request, as far as the client knows. */
export type RanState = 'not-run' | 'ran' | 'unknown';
