import * as testing from '@comfreydrum/testing';
import { createRevisionObserver, type RevisionObserver } from './createRevisionObserver';

/** A running fleet with its revision observer, shared by the steps of the proof. */
export interface Scenario {
  readonly fleet: testing.Fleet;
  readonly observer: RevisionObserver;
  readonly random: testing.Random;
  readonly note: (text: string) => void;
  readonly recordViolation: (text: string) => void;
  /** Records a figure of the report, keeping the largest value. */
  readonly recordMaximum: (name: string, value: number) => void;
  /** Returns the latest accepted revision; 0 before the first. */
  readonly revision: () => number;
  readonly setRevision: (revision: number) => void;
  /** Applies a configuration document that differs from all earlier ones. */
  readonly apply: (
    daemon: testing.FleetDaemon,
    expectedRevision: number | 'none',
  ) => Promise<testing.ApplyResponse>;
  readonly pickDaemon: () => testing.FleetDaemon;
}

/**
 * The freshness window of the daemons: how long a daemon stays ready after its configuration was
 * last confirmed in force.
 */
export const freshnessWindowMs = 6_000;
const daemonCount = 6;
const domains = [
  { name: 'pamplona-a', region: 'navarra' },
  { name: 'derby-a', region: 'midlands' },
];

/** Starts a fleet without a configuration, and its revision observer. */
export const createScenario = async (
  context: testing.ProofContext,
  violations: string[],
  figures: Map<string, number>,
): Promise<Scenario> => {
  const fleet = await testing.createFleet({
    seed: context.seed,
    daemonCount,
    domains,
    configuration: 'none',
    daemonSettings: { freshness: { windowMs: freshnessWindowMs } },
  });
  const addViolation = (text: string) => {
    context.note(`violation: ${text}`);
    violations.push(text);
  };
  const observer = createRevisionObserver(testing.testNames.team, fleet.daemons, addViolation);
  let revision = 0;
  let applyCount = 0;

  return {
    fleet,
    observer,
    random: context.random,
    note: context.note,
    recordViolation: addViolation,
    recordMaximum: (name, value) => {
      figures.set(name, Math.max(figures.get(name) ?? 0, Math.round(value)));
    },
    revision: () => revision,
    setRevision: (next) => {
      revision = next;
    },
    apply: (daemon, expectedRevision) => {
      applyCount += 1;
      const document = testing.createTestConfiguration({
        domains,
        version: `version-${applyCount}`,
      });
      return fleet.apply(document, expectedRevision, daemon);
    },
    pickDaemon: () => context.random.pick(fleet.daemons),
  };
};
