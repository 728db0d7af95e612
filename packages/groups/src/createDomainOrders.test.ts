import * as clock from '@comfreydrum/clock';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createDomainOrders } from './createDomainOrders';
import { createOrderWindow } from './createOrderWindow';
import type { FabricDomainRecord } from './FabricDomainRecord';

const test = uvu.suite('domain orders');

const record: FabricDomainRecord = {
  generation: 1,
  writer: 'w',
  writeId: 'w/1',
  assignments: {},
  groups: {
    g: {
      team: 'navarra',
      modelName: 'drafting',
      modelVersion: '1',
      adapters: [],
      targetKind: 'engine',
      maxConcurrent: 1,
      phase: 'planned',
      generation: 1,
    },
  },
};

const needsWindow = (mayLoad: boolean) =>
  createDomainOrders({
    configuration: { current: () => [], revisions: () => ({}), onChange: () => () => {} },
    listed: () => [],
    observe: () => undefined,
    orders: { send: () => {}, readWork: async () => undefined, close: async () => {} },
    window: createOrderWindow({
      clock: clock.createManualClock(),
      writer: 'w',
      windowMs: 2_000,
      messageLifeMs: 2_000,
    }),
    mayLoad: () => mayLoad,
  }).needsWindow('fabric', record);

test('needs no window while the weight store has no free load slot for a planned group', () => {
  assert.ok(needsWindow(true));
  assert.not.ok(needsWindow(false));
});

test.run();
