/** Whether a target has run a request, as far as the client knows. */
export type ExecutionStatus = 'not-run' | 'ran' | 'unknown';
