import type * as clock from '@comfreydrum/clock';
import * as targetClient from '@comfreydrum/target-client';
import * as undici from 'undici';
import { presenceSchema, type Observation, type Presence } from './Presence';

/** An instance to probe. */
export interface ProbeTarget {
  readonly instanceId: string;
  readonly url: string;
}

/** Probes instances for their presence and keeps the latest result of each. */
export interface Prober {
  /** Probes every target that has no probe in flight. */
  readonly probe: (targets: readonly ProbeTarget[]) => void;
  /** Discards the results of all other instances, so that outdated results are not used later. */
  readonly retain: (instanceIds: ReadonlySet<string>) => void;
  readonly observe: (instanceId: string) => Observation | undefined;
  /** Calls `listener` after every completed probe, successful or not. */
  readonly onObservation: (listener: (instanceId: string) => void) => void;
  readonly close: () => Promise<void>;
}

/** Dependencies and settings of the prober. */
export interface ProberOptions {
  readonly clock: clock.Clock;
  readonly timeoutMs: number;
  readonly localAddress?: string | undefined;
}

const connectionLostCodes = new Set(['ECONNREFUSED', 'ECONNRESET', 'UND_ERR_SOCKET', 'EPIPE']);

const isConnectionLost = (cause: unknown): boolean =>
  cause instanceof Error && 'code' in cause && connectionLostCodes.has(String(cause.code));

/** Creates a prober that keeps one connection per target. */
export const createProber = ({ clock, timeoutMs, localAddress }: ProberOptions): Prober => {
  const agent = targetClient.createBoundedAgent({
    connections: 1,
    connect: { timeout: timeoutMs },
    ...(localAddress === undefined ? {} : { localAddress }),
  });
  const observations = new Map<string, Observation>();
  const inFlight = new Set<string>();
  const listeners = new Set<(instanceId: string) => void>();

  const fetchPresence = async (url: string): Promise<Presence> => {
    const response = await undici.request(`${url}/presence`, {
      dispatcher: agent,
      signal: AbortSignal.timeout(timeoutMs),
    });
    return presenceSchema.parse(await response.body.json());
  };

  const recordResponse = (instanceId: string, response: Presence, sentAtMs: number) => {
    const sinceMs = observations.get(instanceId)?.sinceMs ?? sentAtMs;
    if (response.instanceId !== instanceId) return;
    observations.set(instanceId, { sinceMs, response, respondedProbeAtMs: sentAtMs, gone: false });
  };

  const recordFailure = (instanceId: string, cause: unknown, sentAtMs: number) => {
    const known = observations.get(instanceId);
    observations.set(instanceId, {
      sinceMs: known?.sinceMs ?? sentAtMs,
      response: known?.response,
      respondedProbeAtMs: known?.respondedProbeAtMs,
      failedSinceMs: known?.failedSinceMs ?? sentAtMs,
      gone: isConnectionLost(cause),
    });
  };

  const probeOne = async ({ instanceId, url }: ProbeTarget) => {
    const sentAtMs = clock.monotonicMs();
    inFlight.add(instanceId);
    try {
      recordResponse(instanceId, await fetchPresence(url), sentAtMs);
    } catch (cause) {
      recordFailure(instanceId, cause, sentAtMs);
    }
    inFlight.delete(instanceId);
    listeners.forEach((listener) => listener(instanceId));
  };

  return {
    probe: (targets) =>
      targets
        .filter(({ instanceId }) => !inFlight.has(instanceId))
        .forEach((target) => {
          void probeOne(target);
        }),
    retain: (instanceIds) =>
      [...observations.keys()]
        .filter((instanceId) => !instanceIds.has(instanceId))
        .forEach((instanceId) => observations.delete(instanceId)),
    observe: (instanceId) => observations.get(instanceId),
    onObservation: (listener) => listeners.add(listener),
    close: () => agent.destroy(),
  };
};
