import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import createHasher from 'xxhash-wasm';
import { createSenderCodec } from './createSenderCodec';
import { createMemberTable } from './createMemberTable';

const test = uvu.suite('sender codec');
const { h32 } = await createHasher();

const createDaemon = (instanceId: string, wallMs = 1_000) => {
  const table = createMemberTable({
    self: { instanceId, address: `${instanceId}:1`, region: 'navarra', failureDomain: 'a' },
    suspicionMs: 1_000,
    wallMs,
    onChange: () => {},
  });
  return { table, ...createSenderCodec(table, h32) };
};

type Daemon = ReturnType<typeof createDaemon>;

const exchangeRecords = (left: Daemon, right: Daemon) => {
  left.table.merge(right.table.self(), 0);
  right.table.merge(left.table.self(), 0);
};

test('sends the short form to a member that responded, until a request to it times out', () => {
  const own = createDaemon('a');
  const other = createDaemon('b');
  exchangeRecords(own, other);
  assert.is(own.encode('b').length, 7);
  assert.is(own.encode(undefined).length, 7);
  own.recordResponse('b');
  assert.is(own.encode('b').length, 4);
  assert.is(own.encode('c').length, 7);
  assert.is(own.encode(undefined).length, 7);
  own.recordTimeout('b');
  assert.is(own.encode('b').length, 7);
});

test('sends the whole row to a member that has restarted', () => {
  const own = createDaemon('a');
  exchangeRecords(own, createDaemon('b'));
  own.recordResponse('b');
  own.table.merge(createDaemon('b', 2_000).table.self(), 0);
  assert.is(own.encode('b').length, 7);
});

test('decodes to the row of the sender, whatever state the receiver has recorded for it', () => {
  const own = createDaemon('a');
  const other = createDaemon('b');
  exchangeRecords(own, other);
  own.recordResponse('b');
  other.table.suspect('a', 0, true);
  own.table.leave();
  assert.equal(other.decode(own.encode('b')), own.encode(undefined));
});

test('does not decode a short form whose member or incarnation is unknown', () => {
  const own = createDaemon('a');
  const other = createDaemon('b');
  exchangeRecords(own, other);
  own.recordResponse('b');
  const sender = own.encode('b');
  assert.is(createDaemon('c').decode(sender), undefined);
  const later = createDaemon('c');
  later.table.merge(createDaemon('a', 2_000).table.self(), 0);
  assert.is(later.decode(sender), undefined);
});

test.run();
