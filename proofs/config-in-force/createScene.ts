import * as testing from '@comfreydrum/testing';
import { createObserver, type Observer } from './createObserver';

/** A running fleet with its revision observer, shared by the steps of the proof. */
export interface Scene {
  readonly fleet: testing.Fleet;
  readonly observer: Observer;
  readonly random: testing.Random;
  readonly note: (text: string) => void;
  readonly violate: (text: string) => void;
  /** Records a figure of the report, keeping the largest value. */
  readonly measure: (name: string, value: number) => void;
  /** Returns the latest accepted revision; 0 before the first. */
  readonly revision: () => number;
  readonly setRevision: (revision: number) => void;
  /** Applies a configuration document that differs from all earlier ones. */
  readonly apply: (
    daemon: testing.FleetDaemon,
    expectedRevision: number | 'none',
  ) => Promise<testing.ApplyAnswer>;
  readonly pickDaemon: () => testing.FleetDaemon;
}

/**
 * The freshness window of the daemons: how long a daemon stays ready after its configuration was
 * last confirmed in force.
 */
export const windowMs = 6_000;
const daemonCount = 6;
const domains = [
  { name: 'pamplona-a', region: 'navarra' },
  { name: 'derby-a', region: 'midlands' },
];

/** Starts a fleet without a configuration, and its revision observer. */
export const createScene = async (
  context: testing.ProofContext,
  violations: string[],
  figures: Map<string, number>,
): Promise<Scene> => {
  const fleet = await testing.createFleet({
    seed: context.seed,
    daemonCount,
    domains,
    configuration: 'none',
    daemonSettings: { freshness: { windowMs } },
  });
  const addViolation = (text: string) => {
    context.note(`violation: ${text}`);
    violations.push(text);
  };
  const observer = createObserver(testing.testNames.team, fleet.daemons, addViolation);
  let revision = 0;
  let applied = 0;

  return {
    fleet,
    observer,
    random: context.random,
    note: context.note,
    violate: addViolation,
    measure: (name, value) => {
      figures.set(name, Math.max(figures.get(name) ?? 0, Math.round(value)));
    },
    revision: () => revision,
    setRevision: (next) => {
      revision = next;
    },
    apply: (daemon, expectedRevision) => {
      applied += 1;
      const document = testing.createTestConfiguration({ domains, version: `version-${applied}` });
      return fleet.apply(document, expectedRevision, daemon);
    },
    pickDaemon: () => context.random.pick(fleet.daemons),
  };
};
