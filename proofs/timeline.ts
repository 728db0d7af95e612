/**
 * The merged timeline alone shows that after an engine is killed, every daemon stops dispatching to
 * its group.
 */
import type * as telemetry from '@comfreydrum/telemetry';
import * as testing from '@comfreydrum/testing';
import { createLoad } from './support/createLoad';
import { withFleet } from './support/withFleet';
import { findStops, type GroupStop } from './timeline/findStops';

const daemonCount = 3;
const stopTimeoutMs = 5_000;
const stopBoundMs = 2_000;

const fleetOptions = (seed: number): testing.FleetOptions => ({
  seed,
  daemonCount,
  engines: { count: 4, options: { tokenMs: 10, loadMs: 100 } },
  configuration: testing.createTestConfiguration({ groups: 2, instancesPerGroup: 2 }),
});

const readTimeline = async (daemon: testing.FleetDaemon) =>
  (await daemon.read('v1/timeline')) as readonly telemetry.TimelineEvent[];

const isInOrder = (events: readonly telemetry.TimelineEvent[]) =>
  events.every((event, index) => {
    const before = events[index - 1]?.time;
    if (before === undefined) return true;
    const { wallMs, counter } = event.time;
    return wallMs > before.wallMs || (wallMs === before.wallMs && counter >= before.counter);
  });

const findViolations = (stop: GroupStop, killed: string, killedAtMs: number): readonly string[] => {
  const violations: string[] = [];
  if (!stop.members.includes(killed)) {
    violations.push(
      `${killed} was killed, but the timeline shows only ${stop.members.join(', ')} as members of the broken group`,
    );
  }
  if (new Set(stop.stoppedOn).size < daemonCount) {
    violations.push(`only ${stop.stoppedOn.join(', ')} marked the group broken`);
  }
  if (stop.dispatchedBefore === 0)
    violations.push('nothing was dispatched before the group was marked broken');
  stop.dispatchedAfter.forEach(({ instanceId, requestId }) =>
    violations.push(`${instanceId} dispatched ${requestId} after it had marked the group broken`),
  );
  if (stop.firstBrokenAtMs < killedAtMs)
    violations.push('the group was marked broken before the kill');
  if (stop.lastBrokenAtMs - killedAtMs > stopBoundMs) {
    violations.push(
      `the last daemon marked the group broken ${stop.lastBrokenAtMs - killedAtMs} ms after the kill`,
    );
  }
  return violations;
};

export const prove: testing.Proof = ({ seed, random, note }) =>
  withFleet(fleetOptions(seed), async (fleet) => {
    await fleet.waitUntilServing();
    const load = createLoad({
      daemons: () => fleet.daemons,
      callerCount: 8,
      minTokens: 10,
      maxTokens: 40,
      random,
    });
    await testing.waitUntil(() => load.results().length > 30, 15_000, 'streams to complete');
    const reader = random.pick(fleet.daemons);
    const stopsBefore = findStops(await readTimeline(reader));
    const victim = random.pick(fleet.engines);
    note(`killing ${victim.instanceId}`);
    const killedAtMs = Date.now();
    await victim.process().kill();

    let stops: readonly GroupStop[] = [];
    const isStopped = async () => {
      stops = findStops(await readTimeline(reader)).slice(stopsBefore.length);
      return stops.some(({ stoppedOn }) => new Set(stoppedOn).size === daemonCount);
    };
    await testing
      .waitUntil(isStopped, stopTimeoutMs, 'every daemon to mark the group broken', 100)
      .catch(note);
    await load.stop();
    const events = await readTimeline(reader);
    const [stop] = findStops(events).slice(stopsBefore.length);
    if (!stop) throw new Error('the timeline shows no broken group after the kill');
    note(JSON.stringify(stop));
    return {
      violations: [
        ...(isInOrder(events) ? [] : ['the timeline is out of order']),
        ...findViolations(stop, victim.instanceId, killedAtMs),
      ],
      figures: {
        events: events.length,
        dispatchedBefore: stop.dispatchedBefore,
        firstStopMs: stop.firstBrokenAtMs - killedAtMs,
        lastStopMs: stop.lastBrokenAtMs - killedAtMs,
      },
    };
  });
