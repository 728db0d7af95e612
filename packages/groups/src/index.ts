export type { GroupDirectory, GroupMember, ServingGroup } from './GroupDirectory';
export type { GroupsStatus, GroupStatus, StrandedInstance } from './describeStatus';
export type { ServiceDirectory, ServiceTarget } from './createServiceDirectory';
export { createGroups, type Groups, type GroupsOptions } from './createGroups';
