export { waitUntil } from './waitUntil';
export { collectGarbage } from './collectGarbage';
export { createRandom, type Random } from './createRandom';
export type { Standin, StandinAddress } from './http/createHttpStandin';
export {
  createEndlessTarget,
  type EndlessAnswer,
  type EndlessCounts,
  type EndlessTarget,
} from './http/createEndlessTarget';
export { malformedFields } from './http/malformedFields';
export { malformedStatusLines } from './http/malformedStatusLines';
export { withRawServer, type RawAnswer } from './http/withRawServer';
export type { EngineOptions } from './engine/EngineOptions';
export { createEngineStandin, type EngineStandin } from './engine/createEngineStandin';
export { formatChatPrompt, countPromptTokens, expectedText } from './engine/generateText';
export type { ServedRequest } from './engine/ServedRequest';
export {
  createPlatformStandin,
  type PlatformCounts,
  type PlatformStandin,
  type PlatformStandinOptions,
} from './platform/createPlatformStandin';
export type { PlatformFaults } from './platform/PlatformFaults';
export {
  createServiceStandin,
  type CaseLookup,
  type ServiceFaults,
  type ServiceStandin,
  type ServiceStandinOptions,
} from './service/createServiceStandin';
export type { FilingRun } from './service/createRunLog';
export { createFaultProxy, type FaultProxy } from './proxy/createFaultProxy';
export { anyIp, type LinkFault } from './proxy/LinkFault';
export {
  startProcess,
  type ProcessExit,
  type ProcessLine,
  type StartProcessOptions,
  type TestProcess,
} from './process/startProcess';
export {
  formatModelPrompt,
  streamCompletion,
  type CompletionCall,
  type CompletionOutcome,
  type CompletionShape,
} from './caller/streamCompletion';
export {
  createTestConfiguration,
  customerToken,
  operatorToken,
  sha256Hex,
  testNames,
  type TestConfigurationOptions,
} from './fleet/createConfiguration';
export { createIpAllocator, type IpAllocator } from './fleet/createIpAllocator';
export { createFleet, type ApplyResponse, type Fleet } from './fleet/createFleet';
export type { FleetDaemon } from './fleet/createFleetDaemon';
export type { FleetPlatform } from './fleet/createFleetPlatform';
export type { FleetTarget } from './fleet/createFleetTarget';
export type { FleetDomain, FleetEngines, FleetOptions, FleetServices } from './fleet/FleetOptions';
export { createProofContext } from './proof/createProofContext';
export type { Proof, ProofContext, ProofReport } from './proof/ProofReport';
export type { EventFaultCounts } from './engine/EventFaults';
export { createFakeNetwork, type FakeNetwork } from './peers/createFakeNetwork';
export { createFakeStore, type FakeStore } from './platform/createFakeStore';
