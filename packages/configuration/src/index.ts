export {
  configurationSchema,
  type Configuration,
  type Customer,
  type Idempotency,
  type Model,
  type Route,
  type ModelRoute,
  type ServiceRoute,
  type Service,
  type TargetKind,
} from './configurationSchema';
export { checkConfiguration, type ConfigurationFailure } from './checkConfiguration';
export type { ConfigurationStore } from './ConfigurationStore';
export type {
  ApplyOptions,
  ApplyResult,
  ConfigurationManager,
  ExpectedRevision,
  Freshness,
} from './ConfigurationStore';
export {
  createConfigurationManager,
  type ConfigurationManagerOptions,
} from './createConfigurationManager';
