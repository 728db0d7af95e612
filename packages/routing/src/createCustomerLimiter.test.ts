import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as shares from './createDemandShares';
import * as routing from './index';

const test = uvu.suite('customer limiter');

const limit = 100;

interface Fleet {
  readonly daemons: readonly shares.DemandShares[];
  /**
   * Runs the fleet and returns the largest sum of the shares; `reaches` reports whether the updates
   * of one daemon reach another.
   */
  readonly run: (
    durationMs: number,
    demandOf: (daemon: number, nowMs: number) => number,
    reaches?: (from: number, to: number) => boolean,
  ) => number;
}

const stepMs = 100;
const updateDelayMs = 1_000;

/** Creates daemons that exchange their demand with a delay of `updateDelayMs`. */
const createFleet = (size: number): Fleet => {
  const daemons = Array.from({ length: size }, () => shares.createDemandShares());
  const inTransit: { atMs: number; from: number; update: shares.DemandUpdate }[] = [];
  let nowMs = 0;

  const deliver = (reaches: (from: number, to: number) => boolean) => {
    const arrivedCount = inTransit.filter(({ atMs }) => atMs <= nowMs).length;
    inTransit.splice(0, arrivedCount).forEach(({ from, update }) =>
      daemons.forEach((daemon, to) => {
        if (to === from || !reaches(from, to)) return;
        daemon.onUpdate(`${from}`, update, shares.defaultUpdateLifetimeMs, nowMs);
      }),
    );
  };

  const step = (
    demandOf: (daemon: number, nowMs: number) => number,
    reaches: (from: number, to: number) => boolean,
  ): number => {
    deliver(reaches);
    daemons.forEach((daemon, index) => {
      const reached = daemons.filter((_, other) => other === index || reaches(other, index));
      daemon.setLiveCount(reached.length, nowMs);
      daemon.setDemand('c', limit, demandOf(index, nowMs), nowMs);
      const update = daemon.takeUpdate(nowMs);
      if (update) inTransit.push({ atMs: nowMs + updateDelayMs, from: index, update });
    });
    return daemons.reduce((sum, daemon) => sum + daemon.shareOf('c', limit, nowMs), 0);
  };

  return {
    daemons,
    run: (durationMs, demandOf, reaches = () => true) => {
      let largestSum = 0;
      for (const endMs = nowMs + durationMs; nowMs < endMs; nowMs += stepMs) {
        largestSum = Math.max(largestSum, step(demandOf, reaches));
      }
      return largestSum;
    },
  };
};

test('never allocates more than the limit while updates are delivered', () => {
  const random = routing.createRandom(11);
  const fleet = createFleet(8);
  fleet.run(3_000, () => 0);
  const demands = new Map<number, number>();
  const largest = fleet.run(120_000, (daemon) => {
    if (random.fraction() < 0.05) demands.set(daemon, random.index(200));
    return demands.get(daemon) ?? 0;
  });
  assert.ok(largest <= limit * 1.000001, `shares added up to ${largest}`);
});

test('allocates most of the limit to the daemon with the demand', () => {
  const fleet = createFleet(8);
  fleet.run(10_000, (daemon) => (daemon === 0 ? 200 : 0));
  assert.ok(fleet.daemons[0]!.shareOf('c', limit, 10_000) >= 0.8 * limit);
});

test('stays within the limit during a network partition once old updates have expired', () => {
  const fleet = createFleet(8);
  const demand = () => 50;
  fleet.run(10_000, demand);
  const isSameSide = (from: number, to: number) => from < 3 === to < 3;
  const during = fleet.run(shares.defaultUpdateLifetimeMs, demand, isSameSide);
  const after = fleet.run(60_000, demand, isSameSide);
  assert.ok(during <= 2 * limit, `shares added up to ${during} at the start of the partition`);
  assert.ok(after <= limit * 1.000001, `shares added up to ${after} later in the partition`);
});

test('falls back to an even share when every daemon is isolated', () => {
  const fleet = createFleet(4);
  fleet.run(5_000, () => 50);
  fleet.run(
    30_000,
    () => 50,
    (from, to) => from === to,
  );
  fleet.daemons.forEach((daemon) => {
    assert.ok(Math.abs(daemon.shareOf('c', limit, 35_000) - limit / 4) < 0.001);
  });
});

test('refuses requests over the rate limit, with a retry delay', () => {
  const limiter = routing.createCustomerLimiter({ evenFraction: 1 });
  const limits = { requestsPerSecond: 2 };
  assert.is(limiter.tryStart('c', limits, 0).kind, 'allowed');
  const denied = limiter.tryStart('c', limits, 0);
  assert.ok(denied.kind === 'denied' && denied.retryAfterMs === 500);
  assert.is(limiter.tryStart('c', limits, 500).kind, 'allowed');
});

test('limits concurrent requests and frees a place when one ends', () => {
  const limiter = routing.createCustomerLimiter({ evenFraction: 1 });
  const limits = { maxConcurrent: 2 };
  const kinds = [0, 1, 2].map((nowMs) => limiter.tryStart('c', limits, nowMs).kind);
  assert.equal(kinds, ['allowed', 'allowed', 'denied']);
  limiter.end('c');
  assert.is(limiter.tryStart('c', limits, 3).kind, 'allowed');
  assert.is(limiter.tryStart('d', limits, 3).kind, 'allowed');
});

test('drops the demand of a customer that sends no more requests', () => {
  const limiter = routing.createCustomerLimiter();
  const limits = { requestsPerSecond: 5 };
  Array.from({ length: 20 }, (_, turn) => limiter.tryStart('c', limits, turn * 50));
  assert.ok(limiter.takeUpdate(1_000)!.rates.demands.c! > 10);
  assert.equal(limiter.takeUpdate(3_000)!.rates.demands, {});
});

test.run();
