import type * as clocks from '@comfreydrum/clock';
import * as fleet from '@comfreydrum/fleet';
import type * as telemetry from '@comfreydrum/telemetry';
import type { TargetOrders } from './TargetOrders';

/** Finds out which targets are lost before the list does. */
export interface LossDetector {
  /** Asks targets whether they live; `silentElsewhere` if another daemon has just asked in vain. */
  readonly suspect: (targets: readonly fleet.Target[], silentElsewhere: boolean) => void;
  /** Takes note that a target has answered. */
  readonly noteAnswer: (target: fleet.Target) => void;
  readonly isLost: (target: fleet.Target) => boolean;
  /** Forgets targets that are no longer listed, and asks the lost ones again from time to time. */
  readonly tick: (listed: ReadonlyMap<string, fleet.Target>) => void;
}

/** What the detector needs. */
export interface LossDetectorOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.Log;
  readonly orders: Pick<TargetOrders, 'probe'>;
  readonly onChange: () => void;
}

/** A live target on a sound link answers within some milliseconds. */
const probeTimeoutMs = 200;
/** Silent probes in a row after which a target counts as lost; one that refuses connections counts at once. */
const silentProbes = 2;
/** A target that has answered is not asked again within this time. */
const answeredStandsMs = 400;
/** A lost target that is still listed is asked again this often. */
const recheckMs = 2_000;

interface Suspect {
  readonly silentCount: number;
  readonly asking: boolean;
  readonly answeredAtMs: number;
  readonly askedAtMs: number;
  readonly lost: boolean;
}

const unsuspected: Suspect = {
  silentCount: 0,
  asking: false,
  answeredAtMs: -Infinity,
  askedAtMs: -Infinity,
  lost: false,
};

/** Creates a detector that suspects nobody. */
export const createLossDetector = (options: LossDetectorOptions): LossDetector => {
  const { clock, log, orders } = options;
  const suspects = new Map<string, Suspect>();

  const suspectOf = (target: fleet.Target): Suspect =>
    suspects.get(fleet.runKeyOf(target)) ?? unsuspected;

  const update = (target: fleet.Target, change: Partial<Suspect>) => {
    suspects.set(fleet.runKeyOf(target), { ...suspectOf(target), ...change });
  };

  const setLost = (target: fleet.Target, lost: boolean, reason: string) => {
    if (suspectOf(target).lost === lost) return;
    update(target, { lost });
    log.info(
      { step: 'probe', targetId: target.id, peer: target.address, lost, reason },
      lost ? 'target taken for lost' : 'target answers again',
    );
    options.onChange();
  };

  const noteAnswer = (target: fleet.Target) =>
    update(target, { silentCount: 0, answeredAtMs: clock.monotonicMs() });

  const probe = async (target: fleet.Target): Promise<void> => {
    update(target, { asking: true, askedAtMs: clock.monotonicMs() });
    const result = await orders.probe(target, probeTimeoutMs);
    update(target, { asking: false });
    if (result.ok) {
      noteAnswer(target);
      const isOtherRun = result.value.startedAtMs !== target.startedAtMs;
      setLost(target, isOtherRun, isOtherRun ? 'another run answers' : 'answered');
      return;
    }
    const silentCount = suspectOf(target).silentCount + 1;
    update(target, { silentCount });
    const isRefused = result.error.kind === 'refused';
    if (isRefused || silentCount >= silentProbes) {
      setLost(target, true, result.error.message);
      return;
    }
    await probe(target);
  };

  const ask = (target: fleet.Target) => {
    if (!suspectOf(target).asking) void probe(target);
  };

  return {
    suspect: (targets, silentElsewhere) => {
      const nowMs = clock.monotonicMs();
      targets
        .filter((target) => {
          const { answeredAtMs, lost } = suspectOf(target);
          return !lost && (silentElsewhere || nowMs - answeredAtMs >= answeredStandsMs);
        })
        .forEach((target) => {
          const isAsking = suspectOf(target).asking;
          if (silentElsewhere && !isAsking) update(target, { silentCount: silentProbes - 1 });
          ask(target);
        });
    },
    noteAnswer: (target) => {
      noteAnswer(target);
      setLost(target, false, 'answered');
    },
    isLost: (target) => suspects.get(fleet.runKeyOf(target))?.lost ?? false,
    tick: (listed) => {
      const nowMs = clock.monotonicMs();
      const byKey = new Map([...listed.values()].map((target) => [fleet.runKeyOf(target), target]));
      suspects.forEach((suspect, key) => {
        const target = byKey.get(key);
        if (target === undefined) suspects.delete(key);
        else if (suspect.lost && nowMs - suspect.askedAtMs >= recheckMs) ask(target);
      });
    },
  };
};
