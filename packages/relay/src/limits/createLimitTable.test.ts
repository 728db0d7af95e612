import * as clocks from '@comfreydrum/clock';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createLimitExchange } from './createLimitExchange';
import { createLimitTable } from './createLimitTable';
import type { NamedLimit } from './NamedLimit';

const test = uvu.suite('limits that targets name');

const createDaemon = (clock: clocks.Clock, runId: string) => {
  const changes: (number | undefined)[] = [];
  const table = createLimitTable({ clock, onChange: (_key, limit) => changes.push(limit) });
  const answer = (named: NamedLimit, sentAtMs = clock.monotonicMs(), isSuccess = true) =>
    table.onAnswer({ targetKey: 'a', named, isSuccess, sentAtMs });
  return {
    changes,
    table,
    answer,
    exchange: createLimitExchange({ table, runId }),
    name: (perSecond: number) => answer({ kind: 'limit', perSecond }),
    limit: () => table.limitOf('a'),
  };
};

type Daemon = ReturnType<typeof createDaemon>;

const checkIn = (daemon: Daemon, holder: Daemon) => {
  const request: unknown = JSON.parse(JSON.stringify(daemon.exchange.createRequest()));
  const response: unknown = JSON.parse(JSON.stringify(holder.exchange.createResponse(request)));
  daemon.exchange.applyResponse(response);
  return { request, response };
};

test('a limit holds until an answer to a later request names none', () => {
  const clock = clocks.createManualClock();
  const daemon = createDaemon(clock, 'one');
  daemon.name(4);
  assert.is(daemon.limit(), 4);
  const sentAtMs = clock.monotonicMs() - 10;
  clock.advance(100);
  daemon.answer({ kind: 'none' }, sentAtMs);
  assert.is(daemon.limit(), 4, 'the request was sent before the limit was named');
  daemon.answer({ kind: 'none' }, clock.monotonicMs(), false);
  assert.is(daemon.limit(), 4, 'a failure names no limit');
  daemon.answer({ kind: 'invalid', text: 'soon' });
  assert.is(daemon.limit(), 4, 'an invalid limit ends none');
  daemon.answer({ kind: 'none' });
  assert.is(daemon.limit(), undefined);
  clock.advance(100);
  daemon.name(0);
  assert.is(daemon.limit(), 0);
});

test('all daemons learn of a limit, its changes and its end from check-ins', () => {
  const clock = clocks.createManualClock();
  const [holder, one, two] = ['holder', 'one', 'two'].map((id) => createDaemon(clock, id));
  const exchangeAll = () => [one!, two!, one!].forEach((daemon) => checkIn(daemon, holder!));
  [4, 2.5, undefined].forEach((limit) => {
    clock.advance(500);
    if (limit === undefined) one!.answer({ kind: 'none' });
    else one!.name(limit);
    exchangeAll();
    [holder, one, two].forEach((daemon) => assert.is(daemon!.limit(), limit));
  });
  assert.equal(two!.changes, [4, 2.5, undefined]);
});

test('a daemon that starts learns of all limits, and the next holder of those that only others know', () => {
  const clock = clocks.createManualClock();
  const [first, one] = ['first', 'one'].map((id) => createDaemon(clock, id));
  one!.name(3);
  checkIn(one!, first!);
  const started = createDaemon(clock, 'started');
  checkIn(started, first!);
  assert.is(started.limit(), 3);
  const next = createDaemon(clock, 'next');
  checkIn(one!, next);
  checkIn(one!, next);
  assert.is(next.limit(), 3);
});

test('an unchanged limit is not sent with each check-in', () => {
  const clock = clocks.createManualClock();
  const [holder, one] = ['holder', 'one'].map((id) => createDaemon(clock, id));
  let sentCount = 0;
  for (let round = 0; round < 40; round += 1) {
    clock.advance(250);
    one!.name(3);
    const { request } = checkIn(one!, holder!);
    sentCount += (request as { limits: { changed: unknown[] } }).limits.changed.length;
  }
  assert.ok(sentCount <= 3, `${sentCount} sent in 10 s`);
});

test('news that is older than what a daemon has seen itself does not replace it', () => {
  const clock = clocks.createManualClock();
  const daemon = createDaemon(clock, 'one');
  daemon.name(3);
  clock.advance(1_000);
  daemon.answer({ kind: 'none' });
  daemon.table.applyShared([{ targetKey: 'a', perSecond: 3, ageMs: 500 }]);
  assert.is(daemon.limit(), undefined);
});

test.run();
