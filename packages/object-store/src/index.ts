export type { Era } from './Era';
export type { PlatformFailure } from './PlatformFailure';
export type {
  CallPriority,
  ObjectKey,
  ObjectList,
  PlatformClient,
  ReadObject,
  StoredObject,
  WatchBatch,
  WriteCondition,
} from './PlatformClient';
export { createHttpPlatformClient } from './createHttpPlatformClient';
export {
  createBudgetedPlatformClient,
  type BudgetedPlatformClient,
  type BudgetedPlatformClientOptions,
  type PlatformStatistics,
} from './createBudgetedPlatformClient';
export {
  createKindFollower,
  type KindFollower,
  type KindFollowerOptions,
} from './createKindFollower';
export type { Outage } from './createOutageDetector';
export type { ListedInstance } from './ListedInstance';
export { listedInstanceSchema } from './ListedInstance';
