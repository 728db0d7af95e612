import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { explainFromLogs, readLogLines } from './explainFromLogs';

const test = uvu.suite('explainFromLogs');

const line = (second: number, fields: Readonly<Record<string, unknown>>) =>
  JSON.stringify({
    level: 30,
    time: `2026-09-02T23:33:${String(second).padStart(2, '0')}.000Z`,
    instanceId: 'edge-1',
    msg: 'm',
    ...fields,
  });

const logs = [
  `  12.3 edge-1 ${line(41, { requestId: 'r1', step: 'request', cause: 'target-failed' })}`,
  line(40, { requestId: 'r1', step: 'stream', targetId: 'i-1', group: 'draft.5@5' }),
  line(39, { step: 'probe', targetId: 'i-1', lost: true }),
  line(39, { step: 'close', targetId: 'i-9', groupName: 'draft.5' }),
  line(10, { step: 'join', targetId: 'i-1', groupName: 'draft.5' }),
  line(40, { requestId: 'r2', step: 'request', targetId: 'i-1' }),
  'started',
  '{"time":"2026-09-02T23:33:40.000Z","requestId":"r1","st',
].join('\n');

test('lists the lines of a request and of its targets in time order', () => {
  const lines = explainFromLogs('r1', readLogLines(logs));
  assert.equal(
    lines.map((text) => text.split('  ')[2]),
    ['probe', 'close', 'stream', 'request'],
  );
  assert.match(lines[3]!, 'cause=target-failed');
});

test('lists the lines of a group or target by its name', () => {
  const lines = explainFromLogs('draft.5', readLogLines(logs));
  assert.ok(lines.some((text) => text.includes('join')));
});

test('lists the attempts of one request by their fingerprint', () => {
  const attempts = [1, 2].map((second) =>
    line(second, { requestId: `r${second}`, step: 'request', fingerprint: 'f1' }),
  );
  const crash = line(3, { step: 'crash', targetId: 'i-1', fingerprints: ['f0', 'f1'] });
  const lines = explainFromLogs('f1', readLogLines([...attempts, crash].join('\n')));
  assert.is(lines.length, 3);
});

test('lists different requests by a part that their prompts share', () => {
  const requests = [1, 2].map((second) =>
    line(second, { requestId: `r${second}`, step: 'request', sharedPartIds: ['5c', `a${second}`] }),
  );
  const crash = line(3, { step: 'crash', targetId: 'i-1', sharedPartIds: ['5c', 'a1', 'a2'] });
  const verdict = line(4, { step: 'quarantine', partId: '5c', targetIds: ['i-1'] });
  const logLines = readLogLines([...requests, crash, verdict].join('\n'));
  assert.is(explainFromLogs('5c', logLines).length, 4);
  assert.is(explainFromLogs('a2', logLines).length, 2);
});

test('returns no lines for an unknown id', () => {
  assert.equal(explainFromLogs('r9', readLogLines(logs)), []);
});

test.run();
