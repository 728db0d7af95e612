import { createHash } from 'node:crypto';
import { defaultDomains } from './FleetOptions';
import type { FleetDomain } from './FleetOptions';

/** Returns the token that callers of a customer in the test configuration send. */
export const customerToken = (customerName: string): string => `token-of-${customerName}`;

/** The token that may apply any team's configuration to a fleet. */
export const operatorToken = 'token-of-the-operator';

/** Returns the SHA-256 digest of a text as 64 hex digits. */
export const sha256Hex = (text: string): string => createHash('sha256').update(text).digest('hex');

/** The adjustable values of a test configuration; the others are fixed. */
export interface TestConfigurationOptions {
  readonly team?: string;
  readonly domains?: readonly FleetDomain[];
  readonly groups?: number;
  readonly instancesPerGroup?: number;
  readonly customers?: readonly string[];
  readonly fencing?: 'checked' | 'ignored';
  readonly honoursIdempotencyKey?: boolean;
  readonly lookupPath?: string | undefined;
  readonly loadTimeMs?: number;
  readonly modelDeadlineMs?: number;
  readonly filingDeadlineMs?: number;
  readonly maxConcurrentPerGroup?: number;
  readonly version?: string;
}

/** The default names of the team, model, target kinds and customer in a test configuration. */
export const testNames = {
  team: 'navarra-norte',
  model: 'drafting',
  engineKind: 'drafting-models',
  serviceKind: 'case-desk',
  customer: 'mediation',
} as const;

const createRoutes = (options: TestConfigurationOptions) => {
  const modelDeadlineMs = options.modelDeadlineMs ?? 30_000;
  const filingDeadlineMs = options.filingDeadlineMs ?? 5_000;
  const { lookupPath } = options;
  const idempotency = { key: 'header', ...(lookupPath === undefined ? {} : { lookupPath }) };
  const service = 'cases';
  return [
    { kind: 'model', name: 'chat', path: '/v1/chat/completions', deadlineMs: modelDeadlineMs },
    { kind: 'model', name: 'completion', path: '/v1/completions', deadlineMs: modelDeadlineMs },
    {
      kind: 'service',
      name: 'file',
      path: '/filings',
      service,
      idempotent: false,
      deadlineMs: filingDeadlineMs,
      idempotency,
    },
    { kind: 'service', name: 'lookup', method: 'GET', path: '/cases/*', service, idempotent: true },
  ];
};

/** Creates a configuration document with one model, one service and their routes. */
export const createTestConfiguration = (options: TestConfigurationOptions = {}) => ({
  team: options.team ?? testNames.team,
  failureDomains: options.domains ?? defaultDomains,
  targetKinds: [
    { name: testNames.engineKind, protocol: 'engine', fencing: options.fencing ?? 'ignored' },
    {
      name: testNames.serviceKind,
      protocol: 'service',
      honoursIdempotencyKey: options.honoursIdempotencyKey ?? false,
    },
  ],
  models: [
    {
      name: testNames.model,
      version: options.version ?? '1',
      targetKind: testNames.engineKind,
      groups: options.groups ?? 1,
      instancesPerGroup: options.instancesPerGroup ?? 2,
      loadTimeMs: options.loadTimeMs ?? 1_000,
      maxConcurrentPerGroup: options.maxConcurrentPerGroup ?? 64,
    },
  ],
  services: [{ name: 'cases', targetKind: testNames.serviceKind }],
  customers: (options.customers ?? [testNames.customer]).map((name) => ({
    name,
    tokensSha256: [sha256Hex(customerToken(name))],
  })),
  routes: createRoutes(options),
});
