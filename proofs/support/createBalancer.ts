import type * as testing from '@comfreydrum/testing';

/**
 * Simulates the platform's load balancer, which routes callers to the daemons that report ready.
 */
export interface Balancer {
  readonly ready: () => readonly testing.FleetDaemon[];
  readonly stop: () => void;
}

const checkIntervalMs = 200;

/** Polls the readiness of daemons until stopped. Until the first poll all count as ready. */
export const createBalancer = (daemons: readonly testing.FleetDaemon[]): Balancer => {
  let ready = daemons;
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;

  const check = async () => {
    const states = await Promise.all(daemons.map((daemon) => daemon.isReady()));
    const found = daemons.filter((_, index) => states[index]);
    // A load balancer without any ready daemon falls back to all of them.
    ready = found.length > 0 ? found : daemons;
    if (isStopped) return;
    timer = setTimeout(() => {
      void check();
    }, checkIntervalMs);
  };
  void check();

  return {
    ready: () => ready,
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
    },
  };
};
