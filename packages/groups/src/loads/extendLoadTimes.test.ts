import * as configuration from '@comfreydrum/configuration';
import * as errors from '@comfreydrum/errors';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { extendLoadTimes } from './extendLoadTimes';

const test = uvu.suite('extend load times');
const team = 'navarra';

const createDocument = (weightStoreBytesPerSecond: number) =>
  errors.unwrap(
    configuration.checkConfiguration(
      {
        team,
        failureDomains: [],
        targetKinds: [{ name: 'engine', protocol: 'engine' }],
        models: [
          {
            name: 'drafting',
            version: '1',
            targetKind: 'engine',
            groups: 1,
            instancesPerGroup: 1,
            loadTimeMs: 1_000,
            weightBytes: 100,
          },
        ],
        weightStoreBytesPerSecond,
      },
      'test',
    ),
  );

const plan = {
  team,
  modelName: 'drafting',
  modelVersion: '1',
  adapters: [],
  targetKind: 'engine',
  maxConcurrent: 1,
  loadTimeMs: 1_000,
};

const loadTimeMsAt = (bytesPerSecond: number) =>
  extendLoadTimes(new Map([['navarra/drafting', plan]]), [createDocument(bytesPerSecond)]).get(
    'navarra/drafting',
  )?.loadTimeMs;

test('extends the load time to the transfer time from the weight store', () => {
  assert.is(loadTimeMsAt(1_000), 1_000);
  assert.is(loadTimeMsAt(25), 4_000);
});

test.run();
