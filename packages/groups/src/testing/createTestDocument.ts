import * as configuration from '@comfreydrum/configuration';
import * as errors from '@comfreydrum/errors';

/** Changes of the model in the configuration. */
export interface ModelChanges {
  readonly version?: string;
  readonly adapters?: readonly string[];
}

/** The size of the only model, and whether its targets check fencing. */
export interface TestDocumentOptions {
  readonly groupCount: number;
  readonly instancesPerGroup: number;
  readonly checksFencing?: boolean;
}

/** Creates the configuration of a test fleet. */
export const createTestDocument = (
  options: TestDocumentOptions,
  changes: ModelChanges,
): configuration.Configuration =>
  errors.unwrap(
    configuration.checkConfiguration(
      {
        team: 'navarra',
        failureDomains: ['a', 'b', 'c'].map((name) => ({ name, region: 'navarra' })),
        targetKinds: [
          {
            name: 'engine',
            protocol: 'engine',
            fencing: options.checksFencing === false ? 'ignored' : 'checked',
          },
        ],
        models: [
          {
            name: 'drafting',
            version: '1',
            targetKind: 'engine',
            groups: options.groupCount,
            instancesPerGroup: options.instancesPerGroup,
            loadTimeMs: 100,
            ...changes,
          },
        ],
      },
      'test',
    ),
  );
