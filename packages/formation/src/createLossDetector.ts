import type * as clocks from '@comfreydrum/clock';
import * as fleet from '@comfreydrum/fleet';
import type * as telemetry from '@comfreydrum/telemetry';
import { maxSoundSilenceMs } from './maxSoundSilenceMs';
import type { TargetOrders } from './TargetOrders';

/** Detects lost targets by probes, sooner than their entries disappear from the list. */
export interface LossDetector {
  /** Probes targets. `isKnownSilent` is set if a probe outside the detector has just gone unanswered. */
  readonly suspect: (targets: readonly fleet.Target[], isKnownSilent: boolean) => void;
  /** Records that a target has responded. */
  readonly recordResponse: (target: fleet.Target) => void;
  /** Reports whether a target is considered lost; one that is only silent may be sound and go on. */
  readonly isLost: (target: fleet.Target) => boolean;
  /** Reports whether a target has ended, or has been silent for longer than a sound one. */
  readonly isSurelyLost: (target: fleet.Target) => boolean;
  /** Removes targets that are no longer listed, and probes lost ones again at intervals. */
  readonly tick: (listed: ReadonlyMap<string, fleet.Target>) => void;
}

/** Dependencies of the detector. */
export interface LossDetectorOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.Log;
  readonly orders: Pick<TargetOrders, 'probe'>;
  readonly onChange: () => void;
}

/** A live target on a working link responds within a few milliseconds. */
const probeTimeoutMs = 200;
/** Unanswered probes in a row after which a target is considered lost; one refused connection is enough. */
const silentProbeLimit = 2;
/** A target that has responded is not probed again within this time. */
const responseValidityMs = 400;
/** Time between probes of a lost target that is still listed. */
const recheckMs = 2_000;
/** Time between probes of a silent target that may be sound. */
const silentRecheckMs = 250;

interface SuspectState {
  readonly silentCount: number;
  readonly isProbing: boolean;
  readonly respondedAtMs: number;
  readonly probedAtMs: number;
  /** When the first probe in a row that went unanswered was sent. */
  readonly silentSinceMs: number | undefined;
  /** When the last one timed out. */
  readonly silentUntilMs: number;
  /** Whether the target is known to have ended, rather than being silent. */
  readonly hasEnded: boolean;
  readonly lost: boolean;
}

const initialState: SuspectState = {
  silentCount: 0,
  isProbing: false,
  respondedAtMs: -Infinity,
  probedAtMs: -Infinity,
  silentSinceMs: undefined,
  silentUntilMs: -Infinity,
  hasEnded: false,
  lost: false,
};

/** Creates a detector without suspected targets. */
export const createLossDetector = (options: LossDetectorOptions): LossDetector => {
  const { clock, log, orders } = options;
  const suspects = new Map<string, SuspectState>();

  const stateOf = (target: fleet.Target): SuspectState =>
    suspects.get(fleet.runKeyOf(target)) ?? initialState;

  const update = (target: fleet.Target, change: Partial<SuspectState>) => {
    suspects.set(fleet.runKeyOf(target), { ...stateOf(target), ...change });
  };

  const mayBeSound = (target: fleet.Target): boolean => {
    const { silentSinceMs, silentUntilMs, hasEnded } = stateOf(target);
    if (hasEnded || silentSinceMs === undefined) return false;
    return silentUntilMs - silentSinceMs < maxSoundSilenceMs;
  };

  const setLost = (target: fleet.Target, lost: boolean, reason: string) => {
    if (stateOf(target).lost === lost) return;
    update(target, { lost });
    log.info(
      {
        step: 'probe',
        targetId: target.id,
        peer: target.address,
        lost,
        reason,
        mayBeSound: mayBeSound(target),
      },
      lost ? 'target is considered lost' : 'target responds again',
    );
    options.onChange();
  };

  const recordResponse = (target: fleet.Target) =>
    update(target, {
      silentCount: 0,
      silentSinceMs: undefined,
      hasEnded: false,
      respondedAtMs: clock.monotonicMs(),
    });

  const probe = async (target: fleet.Target): Promise<void> => {
    update(target, { isProbing: true, probedAtMs: clock.monotonicMs() });
    const result = await orders.probe(target, probeTimeoutMs);
    update(target, { isProbing: false });
    if (result.ok) {
      recordResponse(target);
      const isOtherRun = result.value.startedAtMs !== target.startedAtMs;
      update(target, { hasEnded: isOtherRun });
      setLost(target, isOtherRun, isOtherRun ? 'another run answers' : 'answered');
      return;
    }
    const { silentCount: earlierCount, silentSinceMs, probedAtMs } = stateOf(target);
    const silentCount = earlierCount + 1;
    const isRefused = result.error.kind === 'refused';
    update(target, {
      silentCount,
      silentSinceMs: silentSinceMs ?? probedAtMs,
      silentUntilMs: clock.monotonicMs(),
      hasEnded: isRefused,
    });
    if (isRefused || silentCount >= silentProbeLimit) {
      setLost(target, true, result.error.message);
      return;
    }
    await probe(target);
  };

  const startProbe = (target: fleet.Target) => {
    if (!stateOf(target).isProbing) void probe(target);
  };

  return {
    suspect: (targets, isKnownSilent) => {
      const nowMs = clock.monotonicMs();
      targets
        .filter((target) => {
          const { respondedAtMs, lost } = stateOf(target);
          return !lost && (isKnownSilent || nowMs - respondedAtMs >= responseValidityMs);
        })
        .forEach((target) => {
          const wasProbing = stateOf(target).isProbing;
          if (isKnownSilent && !wasProbing) update(target, { silentCount: silentProbeLimit - 1 });
          startProbe(target);
        });
    },
    recordResponse: (target) => {
      recordResponse(target);
      setLost(target, false, 'answered');
    },
    isLost: (target) => stateOf(target).lost,
    isSurelyLost: (target) => stateOf(target).lost && !mayBeSound(target),
    tick: (listed) => {
      const nowMs = clock.monotonicMs();
      const byKey = new Map([...listed.values()].map((target) => [fleet.runKeyOf(target), target]));
      suspects.forEach((suspect, key) => {
        const target = byKey.get(key);
        if (target === undefined) {
          suspects.delete(key);
          return;
        }
        const intervalMs = mayBeSound(target) ? silentRecheckMs : recheckMs;
        if (suspect.lost && nowMs - suspect.probedAtMs >= intervalMs) startProbe(target);
      });
    },
  };
};
