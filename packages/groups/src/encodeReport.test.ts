import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createReportDecoder } from './createReportDecoder';
import { encodeReport } from './encodeReport';
import type { PresenceReport } from './PresenceReport';

const test = uvu.suite('presence report encoding');
/** The size limit of a message, less the space for the key and the publisher's id. */
const maxRowBytes = 470;

const groupIds = Array.from({ length: 120 }, (_, index) => `fabric-01.${index}.0`);
const instanceIds = Array.from({ length: 120 }, (_, index) => `engine-${index}`);
const empty: PresenceReport = {
  sender: 'entry-001/1',
  sentAtMs: 5_000.25,
  present: [],
  lost: [],
  absent: [],
  leaving: [],
};
const known = groupIds.map((groupId) => ({ groupId, generation: 7, members: [] }));
const listed = instanceIds.map((instanceId) => ({ instanceId }));
const decode = createReportDecoder({ groups: () => known, listed: () => listed });
const decodeAll = (report: PresenceReport) => encodeReport(report).map(decode);

test('splits the losses of a large unreachable domain into messages without dropping a group', () => {
  const lost = groupIds.map((groupId, index) => [groupId, 7, index * 50, 'gone'] as const);
  const rows = encodeReport({ ...empty, lost, absent: instanceIds });
  rows.forEach((row) => assert.ok(JSON.stringify(row).length <= maxRowBytes, JSON.stringify(row)));
  const reportedIds = rows.flatMap((row) => decode(row).lost.map(([groupId]) => groupId));
  assert.equal([...reportedIds].sort(), [...groupIds].sort());
});

test('never makes evidence more recent or a loss older than it is', () => {
  const ages = [0, 0.4, 130, 199.5, 210, 900, 1_599];
  const present = ages.map((ageMs, index) => [groupIds[index]!, 7, ageMs] as const);
  const lost = ages.map((ageMs, index) => [groupIds[index + 50]!, 7, ageMs, 'silent'] as const);
  const report = { ...empty, present, lost };
  const decoded = decodeAll(report);
  const sentShiftMs = report.sentAtMs - decoded[0]!.sentAtMs;
  const presentAges = new Map(
    decoded.flatMap((part) => part.present.map(([groupId, , ageMs]) => [groupId, ageMs])),
  );
  present.forEach(([groupId, , ageMs]) =>
    assert.ok(presentAges.get(groupId)! - sentShiftMs >= ageMs, groupId),
  );
  const lostAges = new Map(
    decoded.flatMap((part) => part.lost.map(([groupId, , ageMs]) => [groupId, ageMs])),
  );
  lost.forEach(([groupId, , ageMs]) => assert.ok(lostAges.get(groupId)! <= ageMs, groupId));
});

test('omits a group reported at another generation', () => {
  const [part] = decodeAll({ ...empty, present: [[groupIds[0]!, 8, 10]] });
  assert.equal(part!.present, []);
});

test('includes absent and leaving instances', () => {
  const [part] = decodeAll({ ...empty, absent: ['engine-3', 'engine-4'], leaving: ['engine-5'] });
  assert.equal(part!.absent, ['engine-3', 'engine-4']);
  assert.equal(part!.leaving, ['engine-5']);
});

test.run();
