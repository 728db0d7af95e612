export type { Failure } from './Failure';
export type { Result } from './Result';
export { ok, err } from './Result';
export { unwrap } from './unwrap';
export { unreachable } from './unreachable';
export { describeCause } from './describeCause';
export { describeIssues } from './describeIssues';
export { wasNeverSent } from './wasNeverSent';
